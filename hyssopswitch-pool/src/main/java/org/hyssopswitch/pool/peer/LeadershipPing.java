package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks the holder of the promotion duty whether it still is.
 *
 * @param epoch the holder's epoch as the sender knows it
 */
public record LeadershipPing(long epoch) implements PeerMessage {}
