package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Requests a home to run one cycle: a simple query, or extended-protocol frames up to Sync. The first cycle of a stream
 * opens it; a stream lives until its endpoint reports that no transaction is open.
 *
 * @param stream the stream, numbered by the entry VM
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle in its stream, from 1
 * @param routing the routing decision
 * @param open whether more frames of the cycle follow in {@link ContinueCycle}
 * @param frames the frames, encoded
 */
public record ExecuteCycle(long stream, long epoch, int sequence, CycleRouting routing, boolean open, byte[] frames)
        implements PeerMessage {}
