package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers whether a VM holds the promotion duty.
 *
 * @param epoch the latest epoch known to the sender
 * @param leader who holds the duty in that epoch
 */
public record LeadershipPong(long epoch, String leader) implements PeerMessage {}
