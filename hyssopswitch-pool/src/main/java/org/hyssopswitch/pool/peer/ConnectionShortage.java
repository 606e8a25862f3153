package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * An endpoint refused a VM a connection within its guaranteed part: others close what they hold beyond theirs.
 *
 * @param group the group
 * @param endpoint the endpoint
 */
public record ConnectionShortage(String group, String endpoint) implements PeerMessage {}
