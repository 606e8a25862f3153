package org.hyssopswitch.pool.catalog;

/**
 * A database group: the endpoints that replicate one log.
 *
 * @param name its name, as endpoints expect it
 * @param maxConnections connections that one endpoint accepts from all VMs together, 1 or more
 * @param syncReplicas replicas that have received a commit before it is acknowledged
 */
public record GroupDeclaration(String name, int maxConnections, int syncReplicas) {

    /** Checks the ranges. */
    public GroupDeclaration {
        if (maxConnections < 1 || syncReplicas < 0) {
            throw new IllegalArgumentException("an endpoint must accept 1 connection or more, but accepts "
                    + maxConnections + " with " + syncReplicas + " synchronous replicas");
        }
    }
}
