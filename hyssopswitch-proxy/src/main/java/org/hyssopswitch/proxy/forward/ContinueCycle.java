package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Further frames of an open cycle.
 *
 * @param stream the stream
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle
 * @param open whether more frames follow
 * @param frames the frames, encoded
 */
public record ContinueCycle(long stream, long epoch, int sequence, boolean open, byte[] frames)
        implements PeerMessage {}
