package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a VM, usually one that lends connections, whether it is responsive.
 *
 * @param reply whether this is the answer
 */
public record LenderPing(boolean reply) implements PeerMessage {}
