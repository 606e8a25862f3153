package org.hyssopswitch.pool.statement;

/** A statement of a caller. */
public sealed interface Statement {

    /**
     * Starts a transaction.
     *
     * @param readOnly whether it only reads
     */
    record Begin(boolean readOnly) implements Statement {}

    /**
     * Commits the transaction.
     *
     * @param text the statement as received
     */
    record Commit(String text) implements Statement {}

    /** Rolls the transaction back. */
    record Rollback() implements Statement {}

    /**
     * Reads an item.
     *
     * @param text the statement as received
     */
    record Read(String text) implements Statement {}

    /**
     * Writes an item.
     *
     * @param text the statement as received
     */
    record Write(String text) implements Statement {}

    /**
     * Sets a session value.
     *
     * @param name its name
     * @param value its value
     */
    record SetValue(String name, String value) implements Statement {}

    /**
     * Prepares a statement.
     *
     * @param name the caller's name for it
     * @param shape what it does
     */
    record Prepare(String name, PreparedShape shape) implements Statement {}

    /**
     * Executes a prepared statement.
     *
     * @param name the caller's name for it
     * @param arguments the rest of the statement as received
     */
    record Execute(String name, String arguments) implements Statement {}

    /**
     * Forgets a prepared statement.
     *
     * @param name the caller's name for it
     */
    record Deallocate(String name) implements Statement {}

    /**
     * A statement that cannot be read.
     *
     * @param reason what is wrong with it
     */
    record Malformed(String reason) implements Statement {}
}
