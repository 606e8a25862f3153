package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Cancels a cycle if it is still the current one of its stream.
 *
 * @param stream number of the stream, given by the entry VM
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle in its stream
 */
public record CancelCycle(long stream, long epoch, int sequence) implements PeerMessage {}
