package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;

/** Reads the row in which an endpoint answers a query of its status. */
@FunctionalInterface
public interface StatusDecoder {

    /**
     * Reads a row.
     *
     * @param row the row
     * @return the status, or nothing when the row cannot be read
     */
    Option<ReplicationStatus> decode(String row);
}
