package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.PreparedShape;

/**
 * A statement for an endpoint: a read, a write or the execution of a prepared statement.
 *
 * @param id the caller's identifier of the statement
 * @param text text of the statement, or arguments of the prepared statement
 * @param shape the prepared statement to execute, if any
 * @param write whether the statement writes
 */
record ExecutableStatement(String id, String text, Option<PreparedShape> shape, boolean write) {

    EndpointCommand command(Option<LogPosition> floor) {
        return shape.map(prepared -> (EndpointCommand) new EndpointCommand.Execute(id, prepared, text, floor))
                .getOrElse(() -> new EndpointCommand.Forward(id, text, floor));
    }
}
