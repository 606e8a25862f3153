package org.hyssopswitch.core.failure;

/** Base class of the exceptions of this project, thrown on start-up failures and on violated programming contracts. */
public class HyssopException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed and the offending value
     */
    public HyssopException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what failed and the offending value
     * @param cause the cause
     */
    public HyssopException(String message, Throwable cause) {
        super(message, cause);
    }
}
