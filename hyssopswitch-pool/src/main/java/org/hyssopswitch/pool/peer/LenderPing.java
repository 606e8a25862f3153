package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a VM that lends connections for a sign of life.
 *
 * @param reply whether this is the answer
 */
public record LenderPing(boolean reply) implements PeerMessage {}
