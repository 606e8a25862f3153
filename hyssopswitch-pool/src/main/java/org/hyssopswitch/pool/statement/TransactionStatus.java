package org.hyssopswitch.pool.statement;

/** State of a session between statements. */
public enum TransactionStatus {
    /** Outside a transaction. */
    IDLE,
    /** Inside a transaction. */
    OPEN,
    /** Inside a transaction that has failed and can only be ended. */
    FAILED
}
