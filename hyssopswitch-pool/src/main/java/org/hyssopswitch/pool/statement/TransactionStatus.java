package org.hyssopswitch.pool.statement;

/** Transaction status of a session between statements. */
public enum TransactionStatus {
    /** Outside a transaction. */
    IDLE,
    /** Inside a transaction. */
    OPEN,
    /** Inside a failed transaction, which can only be ended. */
    FAILED
}
