package org.hyssopswitch.pool.statement;

/** A statement of a caller. */
public sealed interface CallerStatement {

    /**
     * Starts a transaction.
     *
     * @param readOnly whether the transaction only reads
     */
    record Begin(boolean readOnly) implements CallerStatement {}

    /**
     * Commits the transaction.
     *
     * @param text the statement as received
     */
    record Commit(String text) implements CallerStatement {}

    /** Rolls back the transaction. */
    record Rollback() implements CallerStatement {}

    /**
     * Reads an item.
     *
     * @param text the statement as received
     */
    record Read(String text) implements CallerStatement {}

    /**
     * Writes an item.
     *
     * @param text the statement as received
     */
    record Write(String text) implements CallerStatement {}

    /**
     * Sets a session value.
     *
     * @param name name of the value
     * @param value the value
     */
    record SetValue(String name, String value) implements CallerStatement {}

    /**
     * Prepares a statement.
     *
     * @param name the caller's name for it
     * @param shape the shape of the statement
     */
    record Prepare(String name, PreparedShape shape) implements CallerStatement {}

    /**
     * Executes a prepared statement.
     *
     * @param name the caller's name for it
     * @param arguments the rest of the statement as received
     */
    record Execute(String name, String arguments) implements CallerStatement {}

    /**
     * Discards a prepared statement.
     *
     * @param name the caller's name for it
     */
    record Deallocate(String name) implements CallerStatement {}

    /**
     * A statement that cannot be parsed.
     *
     * @param reason what is wrong with the statement
     */
    record Malformed(String reason) implements CallerStatement {}
}
