package org.hyssopswitch.core.connection;

/** Transaction status of a session or a connection between statements. */
public enum TransactionStatus {
    /** Outside a transaction. */
    IDLE,
    /** Inside a transaction. */
    OPEN,
    /** Inside a failed transaction, which can only be ended. */
    FAILED
}
