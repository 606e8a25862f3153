package org.hyssopswitch.pool.catalog;

/**
 * A database name that callers may connect to.
 *
 * @param name name of the route
 * @param database database name that callers give
 * @param group the group of endpoints that serves it
 * @param consistency what its reads must see
 * @param stalenessMillis accepted age of what a read sees, milliseconds; 0 when every commit must be seen
 * @param timeoutMillis time limit of one statement, milliseconds
 * @param objectiveMillis latency objective of a whole operation, milliseconds
 * @param priority 0 for the most important
 * @param open whether callers need no key
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
            throw new IllegalArgumentException("timeout and objective of a route must be 1 ms or more and its accepted"
                    + " age 0 or more, but are " + timeoutMillis + ", " + objectiveMillis + " and " + stalenessMillis);
        }
    }

    /** Whether a replica may serve the reads. */
    public boolean allowsReplicaReads() {
        return consistency != Consistency.LATEST && stalenessMillis > 0;
    }
}
