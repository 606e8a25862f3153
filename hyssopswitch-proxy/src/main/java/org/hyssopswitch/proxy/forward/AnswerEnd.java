package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Ends the answer to a cycle.
 *
 * @param stream number of the stream, given by the entry VM
 * @param epoch incarnation of the entry VM
 * @param sequence number of the cycle in its stream
 * @param state how the cycle ended
 * @param transaction transaction status of the endpoint connection; the stream stays open unless the status is IDLE
 * @param confirmed position that a majority of the group confirmed
 * @param retryAfterMillis milliseconds after which a retry may succeed; 0 for no advice
 * @param reason why the cycle failed; empty if it is complete
 * @param frames the last frames of the answer without ReadyForQuery, encoded
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
