package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Reports to the promotion leader that the sender cannot reach the primary of a group.
 *
 * @param group the group
 * @param endpoint the endpoint that the sender takes for the primary; empty when it knows none
 */
public record PrimaryUnreachableReport(String group, String endpoint) implements PeerMessage {}
