package org.hyssopswitch.pool.peer;

import io.vavr.control.Option;
import java.util.Map;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.PreparedShape;

/**
 * A command to run on a lent connection.
 *
 * @param leaseId identifier of the lease, chosen by the borrower
 * @param sequence 0 for the first command of the lease, incremented with each further command; a gap ends the lease
 * @param values session values that the connection must have
 * @param shape the statement that must be prepared
 * @param command the command
 */
public record LeaseCommand(
        long leaseId, int sequence, Map<String, String> values, Option<PreparedShape> shape, EndpointCommand command)
        implements PeerMessage {}
