package org.hyssopswitch.core.session;

/**
 * How long statements wait for an eligible endpoint.
 *
 * @param replicaMillis longest wait of a read for a replica to catch up before it goes to the primary
 * @param primaryMillis longest wait for a primary, for example during a promotion
 * @param retryIntervalMillis time between two attempts
 */
public record SelectionTimeouts(long replicaMillis, long primaryMillis, long retryIntervalMillis) {

    /** Defaults, with a wait for a primary that spans a promotion. */
    public static final SelectionTimeouts DEFAULT = new SelectionTimeouts(10, 9_000, 5);

    /** Checks the ranges. */
    public SelectionTimeouts {
        if (replicaMillis < 0 || primaryMillis < replicaMillis || retryIntervalMillis < 1) {
            throw new IllegalArgumentException(
                    "selection timeouts must satisfy 0 <= replica <= primary and retry interval >= 1, but are "
                            + replicaMillis + ", " + primaryMillis + " and " + retryIntervalMillis);
        }
    }
}
