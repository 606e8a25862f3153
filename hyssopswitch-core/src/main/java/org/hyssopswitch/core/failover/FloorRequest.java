package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Requests from the home of a primary a log position that a majority confirms after the request arrived.
 *
 * @param id number that the reply repeats
 * @param primary the primary
 */
public record FloorRequest(long id, EndpointId primary) implements PeerMessage {}
