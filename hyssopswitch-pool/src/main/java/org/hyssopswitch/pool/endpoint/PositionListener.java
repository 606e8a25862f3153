package org.hyssopswitch.pool.endpoint;

import org.hyssopswitch.core.position.LogPosition;

/** Told whether an endpoint is the primary; not told when no answer arrives. */
public interface PositionListener {

    /**
     * The endpoint proved that it is the primary.
     *
     * @param position its log position after the question was asked
     */
    void primaryConfirmed(LogPosition position);

    /** The endpoint is a replica. */
    void notPrimary();

    /** The endpoint cannot be reached by whoever was asked. */
    void unreachable();
}
