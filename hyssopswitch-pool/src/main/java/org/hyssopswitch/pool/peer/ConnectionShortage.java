package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Reports that an endpoint refused the sender a connection within its guaranteed share: the receivers close connections
 * beyond theirs.
 *
 * @param group the group
 * @param endpoint the endpoint
 */
public record ConnectionShortage(String group, String endpoint) implements PeerMessage {}
