package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Carries further frames of a cycle whose previous message had {@code open} set.
 *
 * @param stream number of the stream, given by the entry VM
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle in its stream
 * @param open whether more frames follow
 * @param frames the frames, encoded
 */
public record ContinueCycle(long stream, long epoch, int sequence, boolean open, byte[] frames)
        implements PeerMessage {}
