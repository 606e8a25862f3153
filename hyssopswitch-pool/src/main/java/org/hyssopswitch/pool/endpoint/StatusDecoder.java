package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.failover.ReplicationStatus;

/** Decodes the row with which an endpoint answers a status query. */
@FunctionalInterface
public interface StatusDecoder {

    /**
     * Decodes a row.
     *
     * @param row the row
     * @return the status, or nothing if the row cannot be parsed
     */
    Option<ReplicationStatus> decode(String row);
}
