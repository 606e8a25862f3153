package org.hyssopswitch.pool.statement;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;

/** What a VM sends to an endpoint. */
public sealed interface EndpointCommand {

    /**
     * Starts a transaction.
     *
     * @param readOnly whether replicas accept it
     * @param floor log position that the endpoint must hold
     */
    record Begin(boolean readOnly, Option<LogPosition> floor) implements EndpointCommand {}

    /** Rolls the transaction back. */
    record Rollback() implements EndpointCommand {}

    /** Drops session values and prepared statements of the connection. */
    record Reset() implements EndpointCommand {}

    /**
     * Sets a session value.
     *
     * @param name its name
     * @param value its value
     */
    record SetValue(String name, String value) implements EndpointCommand {}

    /**
     * Prepares a statement under the name that its shape gives it.
     *
     * @param shape what it does
     */
    record Prepare(PreparedShape shape) implements EndpointCommand {}

    /**
     * Forwards a caller's statement unchanged.
     *
     * @param id the caller's identifier of it
     * @param text the statement
     * @param floor log position that the endpoint must hold
     */
    record Forward(String id, String text, Option<LogPosition> floor) implements EndpointCommand {}

    /**
     * Executes a prepared statement.
     *
     * @param id the caller's identifier of the statement
     * @param shape what was prepared
     * @param arguments the caller's arguments unchanged
     * @param floor log position that the endpoint must hold
     */
    record Execute(String id, PreparedShape shape, String arguments, Option<LogPosition> floor)
            implements EndpointCommand {}

    /** Asks for role, term and positions. */
    record QueryStatus() implements EndpointCommand {}

    /**
     * Makes a primary of a lower term a replica.
     *
     * @param term the term
     */
    record StepDown(long term) implements EndpointCommand {}
}
