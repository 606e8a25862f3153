package org.hyssopswitch.pool.statement;

/** How a statement ended. */
public sealed interface StatementOutcome {

    /**
     * The statement succeeded.
     *
     * @param signature signature given by the endpoint; {@code -} for statements that the VM answers itself
     */
    record Success(String signature) implements StatementOutcome {

        /** The outcome of a statement that the VM answers itself. */
        public static final Success LOCAL = new Success("-");
    }

    /**
     * The statement failed.
     *
     * @param code the cause
     * @param text one-line message for the caller
     */
    record Failed(ErrorCode code, String text) implements StatementOutcome {}
}
