package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * The end of an answer.
 *
 * @param stream the stream
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle
 * @param state how the cycle ended
 * @param transaction transaction status of the endpoint connection; the stream stays open unless it is idle
 * @param confirmed what a majority confirmed
 * @param retryAfterMillis milliseconds after which a repeat is worth while; 0 for no advice
 * @param reason why the cycle failed; empty when it is complete
 * @param frames the last frames without ReadyForQuery, encoded
 */
public record AnswerEnd(
        long stream,
        long epoch,
        int sequence,
        AnswerState state,
        TransactionState transaction,
        Confirmation confirmed,
        long retryAfterMillis,
        String reason,
        byte[] frames)
        implements PeerMessage {}
