package org.hyssopswitch.pool.statement;

/** Why a statement failed. */
public enum ErrorCode {
    /** No capacity; nothing ran. */
    OVERLOADED(true),
    /** The transaction was rolled back. */
    ABORTED(true),
    /** The replica lacks the required position; nothing ran. */
    LAGGING(true),
    /** The endpoint is not the primary; nothing ran. */
    READ_ONLY(true),
    /** The endpoint is another one than expected; nothing ran. */
    MISROUTED(true),
    /** The endpoint accepts no more connections; nothing ran. */
    TOO_MANY_CONNECTIONS(true),
    /** The endpoint does not know the prepared statement; nothing ran. */
    STATEMENT_UNKNOWN(false),
    /** The statement ran and failed. */
    FAILED(false),
    /** The statement did not end in time and may still run. */
    TIMEOUT(false),
    /** The outcome is unknown. */
    IN_DOUBT(false),
    /** The key is unknown. */
    KEY_UNKNOWN(false),
    /** No route has the database name. */
    DATABASE_UNKNOWN(false),
    /** The message is too long. */
    TOO_LARGE(false),
    /** The statement is not permitted in the present state or cannot be read. */
    MALFORMED(false);

    private final boolean guaranteesNoEffect;

    ErrorCode(boolean guaranteesNoEffect) {
        this.guaranteesNoEffect = guaranteesNoEffect;
    }

    /** Whether the code promises callers that nothing of their attempt is kept. */
    public boolean guaranteesNoEffect() {
        return guaranteesNoEffect;
    }
}
