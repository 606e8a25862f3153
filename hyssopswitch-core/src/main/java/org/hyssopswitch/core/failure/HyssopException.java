package org.hyssopswitch.core.failure;

/** Root of the exceptions of this project; thrown for failures of start-up and of programming contracts. */
public class HyssopException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed and the value
     */
    public HyssopException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what failed and the value
     * @param cause the cause
     */
    public HyssopException(String message, Throwable cause) {
        super(message, cause);
    }
}
