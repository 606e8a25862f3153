package org.hyssopswitch.pool.endpoint;

import org.hyssopswitch.core.position.LogPosition;

/** Notified whether an endpoint is the primary; not notified if there is no answer. */
public interface PositionListener {

    /**
     * The endpoint confirmed that it is the primary.
     *
     * @param position its log position after the query was sent
     */
    void primaryConfirmed(LogPosition position);

    /** The endpoint is a replica. */
    void notPrimary();

    /** The endpoint is unreachable from the VM that was queried. */
    void unreachable();
}
