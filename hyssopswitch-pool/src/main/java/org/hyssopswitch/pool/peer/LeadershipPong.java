package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers a {@link LeadershipPing}.
 *
 * @param epoch latest epoch known to the sender
 * @param leader leader in that epoch; empty when the sender knows none
 */
public record LeadershipPong(long epoch, String leader) implements PeerMessage {}
