package org.hyssopswitch.pool.statement;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The complete reply to one statement or command.
 *
 * @param rows the rows of the result
 * @param outcome how the statement ended
 * @param status transaction status of the session afterwards
 * @param position log position reported by the endpoint, if any
 */
public record Reply(
        List<String> rows, StatementOutcome outcome, TransactionStatus status, Option<LogPosition> position) {

    /** Copies the rows, so that the reply is immutable. */
    public Reply {
        rows = List.copyOf(rows);
    }

    /**
     * Creates a reply that the VM gives itself, without an endpoint.
     *
     * @param outcome how the statement ended
     * @param status transaction status of the session afterwards
     */
    public static Reply local(StatementOutcome outcome, TransactionStatus status) {
        return new Reply(List.of(), outcome, status, Option.none());
    }

    /** Returns the error code if the statement failed. */
    public Option<ErrorCode> error() {
        return outcome instanceof StatementOutcome.Failed failed ? Option.some(failed.code()) : Option.none();
    }

    /** Whether the statement succeeded. */
    public boolean succeeded() {
        return outcome instanceof StatementOutcome.Success;
    }
}
