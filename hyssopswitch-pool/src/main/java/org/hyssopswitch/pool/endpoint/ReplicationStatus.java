package org.hyssopswitch.pool.endpoint;

import org.hyssopswitch.core.position.LogPosition;

/**
 * What an endpoint says about itself.
 *
 * @param primary whether it sees itself as the primary
 * @param term the latest term it knows
 * @param received the log position that it has received, applied or not
 */
public record ReplicationStatus(boolean primary, long term, LogPosition received) {}
