package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Carries part of a cycle's answer to the entry VM.
 *
 * @param stream number of the stream, given by the entry VM
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle in its stream
 * @param frames encoded frames, each of them whole
 */
public record AnswerData(long stream, long epoch, int sequence, byte[] frames) implements PeerMessage {}
