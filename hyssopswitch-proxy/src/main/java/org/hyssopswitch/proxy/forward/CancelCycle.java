package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Cancels a cycle if it is still the current one of its stream.
 *
 * @param stream the stream
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle
 */
public record CancelCycle(long stream, long epoch, int sequence) implements PeerMessage {}
