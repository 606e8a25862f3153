package org.hyssopswitch.proxy.forward;

/** The transaction status that ReadyForQuery reports. */
public enum TransactionState {
    /** No transaction is open. */
    IDLE('I'),
    /** A transaction is open. */
    OPEN('T'),
    /** A transaction is open and has failed. */
    FAILED('E');

    private final char code;

    TransactionState(char code) {
        this.code = code;
    }

    /** The character on the wire. */
    public char code() {
        return code;
    }

    /**
     * Returns the status for the character on the wire.
     *
     * @param code the character; an unknown one counts as a failed transaction
     */
    public static TransactionState of(char code) {
        return switch (code) {
            case 'I' -> IDLE;
            case 'T' -> OPEN;
            default -> FAILED;
        };
    }
}
