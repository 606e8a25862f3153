package org.hyssopswitch.pool.peer;

import io.vavr.control.Option;
import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.PreparedShape;

/**
 * A command for a lent connection.
 *
 * @param leaseId the borrower's number
 * @param sequence 0 for the first command of the lease and one more for each following; a gap ends the lease
 * @param values session values that the connection must have
 * @param shape the statement that must be prepared
 * @param command the command
 */
public record LeaseCommand(
        long leaseId, int sequence, Map<String, String> values, Option<PreparedShape> shape, EndpointCommand command)
        implements PeerMessage {}
