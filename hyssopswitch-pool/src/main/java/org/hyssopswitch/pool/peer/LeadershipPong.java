package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers a {@link LeadershipPing}.
 *
 * @param term latest term known to the sender
 * @param leader leader in that term; empty when the sender knows none
 */
public record LeadershipPong(long term, String leader) implements PeerMessage {}
