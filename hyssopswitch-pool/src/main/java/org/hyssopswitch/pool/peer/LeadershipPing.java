package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks the promotion leader whether it still holds the leadership.
 *
 * @param term term of the leader, as known to the sender
 */
public record LeadershipPing(long term) implements PeerMessage {}
