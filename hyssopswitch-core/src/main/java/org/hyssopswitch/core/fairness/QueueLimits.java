package org.hyssopswitch.core.fairness;

/**
 * Bounds of a statement queue.
 *
 * @param perAccount maximum number of waiting statements of one client account, 1 or more
 * @param total maximum number of waiting statements of all client accounts, at least {@code perAccount}
 */
public record QueueLimits(int perAccount, int total) {

    /** Bounds for an endpoint with a few slots. */
    public static final QueueLimits DEFAULT = new QueueLimits(256, 2_048);

    /** Checks the ranges. */
    public QueueLimits {
        if (perAccount < 1 || total < perAccount) {
            throw new IllegalArgumentException("perAccount must be at least 1 and total at least perAccount, but"
                    + " they are " + perAccount + " and " + total);
        }
    }
}
