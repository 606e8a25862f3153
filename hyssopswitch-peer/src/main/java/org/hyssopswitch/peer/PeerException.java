package org.hyssopswitch.peer;

import org.hyssopswitch.core.failure.HyssopException;

/** Thrown when the transport cannot start or when a message class breaks the contract of the codec. */
public final class PeerException extends HyssopException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed and the value
     */
    public PeerException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what failed and the value
     * @param cause the cause
     */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
