package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.PreparedShape;

/**
 * A read, write or execution of a prepared statement.
 *
 * @param id the caller's identifier of the statement
 * @param text the statement, or the arguments of a prepared one
 * @param shape the prepared statement to execute
 * @param write whether it writes
 */
record ExecutableStatement(String id, String text, Option<PreparedShape> shape, boolean write) {

    EndpointCommand command(Option<LogPosition> floor) {
        return shape.map(prepared -> (EndpointCommand) new EndpointCommand.Execute(id, prepared, text, floor))
                .getOrElse(() -> new EndpointCommand.Forward(id, text, floor));
    }
}
