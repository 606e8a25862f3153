package org.hyssopswitch.pool.catalog;

/**
 * Declaration of a database group, the endpoints that replicate one log.
 *
 * @param name name of the group, as endpoints expect it
 * @param maxConnections maximum number of connections that one endpoint accepts from all VMs together, at least 1
 * @param syncReplicas number of replicas that must have received a commit before it is acknowledged, at least 0
 */
public record GroupDeclaration(String name, int maxConnections, int syncReplicas) {

    /** Checks the ranges. */
    public GroupDeclaration {
        if (maxConnections < 1 || syncReplicas < 0) {
            throw new IllegalArgumentException("an endpoint must accept at least 1 connection, but accepts "
                    + maxConnections + " with " + syncReplicas + " synchronous replicas");
        }
    }
}
