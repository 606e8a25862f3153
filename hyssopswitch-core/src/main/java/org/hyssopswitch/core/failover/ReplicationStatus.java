package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.position.LogPosition;

/**
 * Replication status as reported by an endpoint.
 *
 * @param primary whether it reports itself as the primary
 * @param term the latest term known to it
 * @param received log position up to which it has received the log, applied or not
 */
public record ReplicationStatus(boolean primary, long term, LogPosition received) {

    /** Returns the latest term in which a primary is known to have led: a replica may know of one that never began. */
    public long latestLedTerm() {
        return primary ? Math.max(term, received.term()) : received.term();
    }
}
