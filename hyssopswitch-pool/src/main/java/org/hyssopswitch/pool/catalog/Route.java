package org.hyssopswitch.pool.catalog;

/**
 * A database name that callers may connect to.
 *
 * @param name name of the route
 * @param database database name that callers connect to
 * @param group name of the database group that serves the route
 * @param consistency which commits its reads must see
 * @param stalenessMillis accepted staleness of reads, milliseconds; 0 if reads must see every commit
 * @param timeoutMillis timeout of one statement, milliseconds
 * @param objectiveMillis latency objective of a whole operation, milliseconds
 * @param priority priority of its operations; 0 is the highest
 * @param open whether callers may connect without a key
 */
public record Route(
        String name,
        String database,
        String group,
        Consistency consistency,
        long stalenessMillis,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        boolean open) {

    /** Checks the ranges. */
    public Route {
        if (timeoutMillis < 1 || objectiveMillis < 1 || stalenessMillis < 0) {
            throw new IllegalArgumentException("timeout and latency objective of a route must be at least 1 ms and its"
                    + " accepted staleness at least 0 ms, but are " + timeoutMillis + ", " + objectiveMillis + " and "
                    + stalenessMillis);
        }
    }

    /** Whether replicas may serve the reads. */
    public boolean allowsReplicaReads() {
        return consistency != Consistency.LATEST && stalenessMillis > 0;
    }
}
