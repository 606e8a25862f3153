package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.position.LogPosition;

/**
 * Replication status as reported by an endpoint.
 *
 * @param primary whether it reports itself as the primary
 * @param term the latest term known to it
 * @param received log position up to which it has received the log, applied or not
 */
public record ReplicationStatus(boolean primary, long term, LogPosition received) {}
