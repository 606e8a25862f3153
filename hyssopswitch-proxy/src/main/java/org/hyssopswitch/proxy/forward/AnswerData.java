package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * A part of an answer.
 *
 * @param stream the stream
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle
 * @param frames whole frames, encoded
 */
public record AnswerData(long stream, long epoch, int sequence, byte[] frames) implements PeerMessage {}
