package org.hyssopswitch.standin.group;

/** A change of the data, as kept in the log. */
sealed interface Mutation {

    /** Sets the value of a key and raises its version by one; creates the row with version 1. */
    record PutRow(String key, String value) implements Mutation {}

    /** Appends a row to the ledger. */
    record AppendLedger(LedgerRow row) implements Mutation {}
}
