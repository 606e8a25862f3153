package org.hyssopswitch.pool.statement;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The whole answer to one statement.
 *
 * @param rows the rows
 * @param outcome how the statement ended
 * @param status state of the session after it
 * @param position the log position that the endpoint reported
 */
public record Reply(
        List<String> rows, StatementOutcome outcome, TransactionStatus status, Option<LogPosition> position) {

    /** Copies the rows. */
    public Reply {
        rows = List.copyOf(rows);
    }

    /**
     * An answer that the VM gives itself.
     *
     * @param outcome how the statement ended
     * @param status state of the session after it
     */
    public static Reply local(StatementOutcome outcome, TransactionStatus status) {
        return new Reply(List.of(), outcome, status, Option.none());
    }

    /** The error, if the statement failed. */
    public Option<ErrorCode> error() {
        return outcome instanceof StatementOutcome.Failed failed ? Option.some(failed.code()) : Option.none();
    }

    /** Whether the statement succeeded. */
    public boolean succeeded() {
        return outcome instanceof StatementOutcome.Success;
    }
}
