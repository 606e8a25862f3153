package org.hyssopswitch.pool.statement;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;

/** A command that a VM sends to an endpoint. */
public sealed interface EndpointCommand {

    /** Whether the endpoint replies with its replication status. */
    default boolean reportsStatus() {
        return false;
    }

    /**
     * Starts a transaction.
     *
     * @param readOnly whether the transaction only reads, so that replicas accept it
     * @param floor lowest log position that the endpoint must have applied; none if any will do
     */
    record Begin(boolean readOnly, Option<LogPosition> floor) implements EndpointCommand {}

    /** Rolls back the transaction. */
    record Rollback() implements EndpointCommand {}

    /** Discards the session values and prepared statements of the connection. */
    record Reset() implements EndpointCommand {}

    /**
     * Sets a session value.
     *
     * @param name name of the value
     * @param value the value
     */
    record SetValue(String name, String value) implements EndpointCommand {}

    /**
     * Prepares a statement under the name derived from its shape.
     *
     * @param shape the shape of the statement
     */
    record Prepare(PreparedShape shape) implements EndpointCommand {}

    /**
     * Forwards a caller's statement unchanged.
     *
     * @param id the caller's identifier of the statement
     * @param text the statement as received
     * @param floor lowest log position that the endpoint must have applied; none if any will do
     */
    record Forward(String id, String text, Option<LogPosition> floor) implements EndpointCommand {}

    /**
     * Executes a prepared statement.
     *
     * @param id the caller's identifier of the statement
     * @param shape the shape of the prepared statement
     * @param arguments the caller's arguments, unchanged
     * @param floor lowest log position that the endpoint must have applied; none if any will do
     */
    record Execute(String id, PreparedShape shape, String arguments, Option<LogPosition> floor)
            implements EndpointCommand {}

    /** Queries the role, term and log position of the endpoint. */
    record QueryStatus() implements EndpointCommand {

        @Override
        public boolean reportsStatus() {
            return true;
        }
    }

    /**
     * Demotes a primary of a lower term to a replica.
     *
     * @param term term above that of the primary
     */
    record StepDown(long term) implements EndpointCommand {

        @Override
        public boolean reportsStatus() {
            return true;
        }
    }

    /**
     * Stops a replica from receiving the log until it is resumed, promoted or started again.
     *
     * @param term term above the latest that the replica knows
     */
    record Pause(long term) implements EndpointCommand {

        @Override
        public boolean reportsStatus() {
            return true;
        }
    }

    /** Lets a paused replica receive the log again. */
    record Resume() implements EndpointCommand {

        @Override
        public boolean reportsStatus() {
            return true;
        }
    }
}
