package org.hyssopswitch.core.fairness;

/**
 * Bounds of a statement queue.
 *
 * @param perAccount statements of one client account that may wait, 1 or more
 * @param total statements of all client accounts that may wait, at least {@code perAccount}
 */
public record QueueLimits(int perAccount, int total) {

    /** Bounds for an endpoint of a few slots. */
    public static final QueueLimits DEFAULT = new QueueLimits(256, 2_048);

    /** Checks the ranges. */
    public QueueLimits {
        if (perAccount < 1 || total < perAccount) {
            throw new IllegalArgumentException("the queue must hold at least 1 statement per client account and in"
                    + " total no fewer, but the bounds are " + perAccount + " and " + total);
        }
    }
}
