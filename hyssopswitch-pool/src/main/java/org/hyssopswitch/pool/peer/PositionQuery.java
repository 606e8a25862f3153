package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks whether an endpoint is the primary and for its log position at a time after the question.
 *
 * @param queryId number that the sender chose
 * @param group the endpoint's group
 * @param endpoint the endpoint
 */
public record PositionQuery(long queryId, String group, String endpoint) implements PeerMessage {}
