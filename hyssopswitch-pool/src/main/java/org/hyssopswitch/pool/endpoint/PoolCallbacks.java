package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;

/** What a pool learns that concerns its whole group. */
interface PoolCallbacks {

    /** An endpoint answered what only a primary answers. */
    void primaryConfirmed(String endpointId, long askedMillis, LogPosition position);

    /** An endpoint refused what only a primary accepts. */
    void notPrimary(String endpointId);

    /** An endpoint began or ceased to be unreachable. */
    void reachabilityChanged(String endpointId, boolean reachable);

    /** An endpoint refused a connection that this VM's guaranteed share includes. */
    void connectionShortage(String endpointId);

    /** Whether an endpoint is taken for the primary. */
    boolean isPrimary(String endpointId);

    /** The position that a read must ask for; nothing when no recent enough position of the primary is known. */
    Option<LogPosition> readFloor(ConnectionRequest request);

    /** Work could not be run by this endpoint and needs another one. */
    void requeue(ConnectionRequest request);
}
