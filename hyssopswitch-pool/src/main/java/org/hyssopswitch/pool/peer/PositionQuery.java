package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks whether an endpoint is the primary, and for its log position at a time after the query.
 *
 * @param queryId identifier of the query, chosen by the sender
 * @param group group of the endpoint
 * @param endpoint the endpoint
 */
public record PositionQuery(long queryId, String group, String endpoint) implements PeerMessage {}
