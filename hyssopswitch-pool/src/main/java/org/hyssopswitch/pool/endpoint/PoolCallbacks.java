package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;

/** Callbacks of a connection pool into its database group. */
interface PoolCallbacks {

    /** An endpoint confirmed at a log position that it is the primary. */
    void primaryConfirmed(String endpointId, long askedMillis, LogPosition position);

    /** An endpoint refused a command because it is not the primary. */
    void notPrimary(String endpointId);

    /** An endpoint became reachable or unreachable. */
    void reachabilityChanged(String endpointId, boolean reachable);

    /** An endpoint refused a connection within this VM's guaranteed share. */
    void connectionShortage(String endpointId);

    /** Whether an endpoint is considered the primary. */
    boolean isPrimary(String endpointId);

    /** Returns the floor of a read, or nothing if no sample of the primary's log position is recent enough. */
    Option<LogPosition> readFloor(ConnectionRequest request);

    /** Submits a request again that this endpoint cannot serve. */
    void requeue(ConnectionRequest request);
}
