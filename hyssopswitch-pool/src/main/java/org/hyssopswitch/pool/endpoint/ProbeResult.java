package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.failover.ReplicationStatus;

/**
 * Result of querying one process outside the pools.
 *
 * @param status its replication status, if it answered
 * @param ended whether it no longer runs, because its address refuses connections or belongs to another process
 */
public record ProbeResult(Option<ReplicationStatus> status, boolean ended) {

    static final ProbeResult ENDED = new ProbeResult(Option.none(), true);

    static final ProbeResult UNKNOWN = new ProbeResult(Option.none(), false);
}
