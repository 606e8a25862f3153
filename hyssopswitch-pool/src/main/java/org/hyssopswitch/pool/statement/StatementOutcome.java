package org.hyssopswitch.pool.statement;

/** How a statement ended. */
public sealed interface StatementOutcome {

    /**
     * The statement succeeded.
     *
     * @param signature what the endpoint signed; {@code -} for statements that reach no endpoint
     */
    record Success(String signature) implements StatementOutcome {

        /** The outcome of statements that the VM answers itself. */
        public static final Success LOCAL = new Success("-");
    }

    /**
     * The statement failed.
     *
     * @param code why
     * @param text one line for people
     */
    record Failed(ErrorCode code, String text) implements StatementOutcome {}
}
