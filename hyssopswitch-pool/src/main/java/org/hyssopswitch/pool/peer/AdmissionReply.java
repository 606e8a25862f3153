package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers an {@link AdmissionRequest}; a request that waits is answered twice.
 *
 * @param requestId identifier of the request
 * @param outcome the decision
 * @param retryAfterMillis milliseconds after which an operation is likely to be admitted, where it was refused
 */
public record AdmissionReply(long requestId, Outcome outcome, long retryAfterMillis) implements PeerMessage {

    /** The decision on an operation. */
    public enum Outcome {
        /** A token was taken for the operation. */
        ADMITTED,
        /** The client account exceeds its rate. */
        REFUSED,
        /** The operation waits for a token; the decision follows. */
        WAITING,
        /** The sender holds no tokens of the account. */
        NOT_HOLDER
    }
}
