package org.hyssopswitch.standin.sql;

/** Kinds of errors that an endpoint reports, with their SQLSTATE. */
public enum SqlError {
    /** Connections from all clients reach the endpoint's cap. */
    TOO_MANY_CONNECTIONS("53300"),
    /** The user or password is wrong. */
    AUTHENTICATION_FAILED("28P01"),
    /** The group has another database. */
    DATABASE_UNKNOWN("3D000"),
    /** A frame is malformed or out of order. */
    PROTOCOL_VIOLATION("08P01"),
    /** The statement is not one of the supported shapes. */
    SYNTAX_ERROR("42601"),
    /** A value cannot be read as its type. */
    INVALID_VALUE("22P02"),
    /** A column must not be null. */
    NULL_VALUE("23502"),
    /** The key exists. */
    DUPLICATE_KEY("23505"),
    /** The prepared statement or portal does not exist. */
    STATEMENT_UNKNOWN("26000"),
    /** The transaction has failed and only accepts a rollback. */
    TRANSACTION_FAILED("25P02"),
    /** A write on an endpoint, by a user or in a transaction that only reads. */
    READ_ONLY("25006"),
    /** The user may not call the function. */
    NOT_PERMITTED("42501"),
    /** A row changed between the statement and its commit. */
    SERIALIZATION_FAILURE("40001"),
    /** The client cancelled the statement. */
    CANCELLED("57014");

    private final String sqlState;

    SqlError(String sqlState) {
        this.sqlState = sqlState;
    }

    /** Five characters. */
    public String sqlState() {
        return sqlState;
    }
}
