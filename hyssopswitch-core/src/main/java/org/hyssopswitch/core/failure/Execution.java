package org.hyssopswitch.core.failure;

/** Whether a failed statement was executed. */
public enum Execution {
    /** No byte of the statement reached an endpoint, or the endpoint refused it before execution. */
    NOT_RUN,
    /** The statement may have run or may still run. */
    OUTCOME_UNKNOWN,
    /** The endpoint ran the statement and reported an error; its transaction is rolled back. */
    FAILED
}
