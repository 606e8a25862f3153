package org.hyssopswitch.core.connection;

/** Transaction status that an endpoint reports with each reply. */
public enum SessionStatus {
    /** Outside a transaction. */
    IDLE,
    /** Inside a transaction. */
    OPEN,
    /** Inside a failed transaction, which can only be ended. */
    FAILED
}
