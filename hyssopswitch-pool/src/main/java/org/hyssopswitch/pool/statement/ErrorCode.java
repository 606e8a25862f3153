package org.hyssopswitch.pool.statement;

/** Why a statement failed. */
public enum ErrorCode {
    /** No capacity is available; the statement did not run. */
    OVERLOADED(true),
    /** The transaction was rolled back. */
    ABORTED(true),
    /** The replica has not applied the required log position; the statement did not run. */
    LAGGING(true),
    /** The endpoint is not the primary; the statement did not run. */
    READ_ONLY(true),
    /** The endpoint is not the expected one; the statement did not run. */
    MISROUTED(true),
    /** The endpoint accepts no more connections; the statement did not run. */
    TOO_MANY_CONNECTIONS(true),
    /** The prepared statement does not exist on the connection; the statement did not run. */
    STATEMENT_UNKNOWN(false),
    /** The statement ran and failed. */
    FAILED(false),
    /** The statement timed out and may still be running. */
    TIMEOUT(false),
    /** It is unknown whether the statement took effect. */
    IN_DOUBT(false),
    /** The key is unknown. */
    KEY_UNKNOWN(false),
    /** There is no route for the database name. */
    DATABASE_UNKNOWN(false),
    /** The message is too long. */
    TOO_LARGE(false),
    /** The statement cannot be parsed or is not permitted in the current state of the session. */
    MALFORMED(false);

    private final boolean guaranteesNoEffect;

    ErrorCode(boolean guaranteesNoEffect) {
        this.guaranteesNoEffect = guaranteesNoEffect;
    }

    /** Whether the code guarantees to callers that their attempt has had no effect. */
    public boolean guaranteesNoEffect() {
        return guaranteesNoEffect;
    }
}
