package org.hyssopswitch.load.profile;

/** What a session does. */
public enum Operation {
    /** Reads a row by a route that accepts aged data. */
    AGED_READ,
    /** Reads a row by a route that accepts the latest data only. */
    LATEST_READ,
    /** Sets a row of the session. */
    KEYED_WRITE,
    /** Inserts one ledger row, which must not be repeated. */
    LEDGER_INSERT,
    /** Inserts two ledger rows in one transaction. */
    TRANSACTION
}
