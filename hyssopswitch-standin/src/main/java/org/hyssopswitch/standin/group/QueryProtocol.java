package org.hyssopswitch.standin.group;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.standin.sql.Column;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlException;
import org.hyssopswitch.standin.sql.SqlFailure;
import org.hyssopswitch.standin.sql.SqlParser;
import org.hyssopswitch.standin.sql.Statement;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/** The simple and extended query protocol of one session. */
final class QueryProtocol {

    private final EndpointRuntime runtime;
    private final SessionOutput output;
    private final Runnable idle;
    private final SessionTransaction transaction;
    private final StatementRunner runner;
    private final PreparedStatements prepared = new PreparedStatements();
    private Optional<LogPosition> reported = Optional.empty();
    private boolean busy;
    private boolean handling;
    private boolean skipping;
    private boolean ended;

    /**
     * Creates a protocol.
     *
     * @param idle called when a statement has ended later than its frame was handled
     */
    QueryProtocol(
            EndpointRuntime runtime,
            boolean reader,
            Map<String, String> parameters,
            SessionOutput output,
            Runnable idle) {
        this.runtime = runtime;
        this.output = output;
        this.idle = idle;
        this.transaction = new SessionTransaction(runtime.endpoint(), reader);
        this.runner = new StatementRunner(runtime, reader, transaction, parameters);
    }

    /** Whether a statement runs; frames must wait until it has ended. */
    boolean busy() {
        return busy;
    }

    void cancel() {
        runner.cancel();
    }

    /** Rolls back and stops what runs. */
    void end() {
        ended = true;
        runner.cancel();
        transaction.rollback();
    }

    void handle(Frame frame) {
        if (skipping && !frame.is('S')) {
            return;
        }
        handling = true;
        try {
            dispatch(frame);
        } catch (SqlException e) {
            fail(e.sqlFailure());
        } finally {
            handling = false;
        }
    }

    /** Ends a cycle: reports positions and the transaction status. */
    void ready() {
        transaction.takeCommitted().ifPresent(this::reportCommit);
        LogPosition applied = runtime.endpoint().applied();
        if (!reported.equals(Optional.of(applied))) {
            reported = Optional.of(applied);
            output.add(BackendFrames.parameterStatus("hyssop.applied", applied.toString()));
        }
        output.add(BackendFrames.readyForQuery(transaction.status()));
        flush();
    }

    private void flush() {
        runtime.faults().takeRepetition(runtime.endpoint().id()).ifPresentOrElse(output::flushTwice, output::flush);
    }

    private void dispatch(Frame frame) {
        BodyReader body = new BodyReader(frame.body());
        switch ((char) frame.type()) {
            case 'Q' -> query(body.readString());
            case 'P' -> {
                prepared.parse(body);
                output.add(BackendFrames.empty('1'));
            }
            case 'B' -> {
                prepared.bind(body);
                output.add(BackendFrames.empty('2'));
            }
            case 'D' -> describe(body);
            case 'E' -> execute(body);
            case 'C' -> {
                prepared.close(body);
                output.add(BackendFrames.empty('3'));
            }
            case 'H' -> flush();
            case 'S' -> sync();
            default ->
                throw new SqlException(SqlError.PROTOCOL_VIOLATION, "unexpected frame of type " + (char) frame.type());
        }
    }

    private void query(String sql) {
        Either<SqlFailure, List<Statement>> parsed = SqlParser.parse(sql);
        if (parsed.isLeft()) {
            fail(parsed.getLeft());
            endCycle();
            return;
        }
        next(new ArrayDeque<>(parsed.get()));
    }

    /** Runs the statements of a simple query in order up to the first error. */
    private void next(Deque<Statement> statements) {
        if (statements.isEmpty()) {
            endCycle();
            return;
        }
        Statement statement = statements.remove();
        run(statement, List.of(), result -> {
            if (result.isLeft()) {
                fail(result.getLeft());
                endCycle();
                return;
            }
            describeRows(statement.columns(), List.of());
            send(statement, result.get(), List.of());
            next(statements);
        });
    }

    private void describe(BodyReader body) {
        if (body.readByte() == 'S') {
            PreparedStatements.Prepared statement = prepared.statement(body.readString());
            output.add(BackendFrames.parameterDescription(statement.parameterOids()));
            describe(statement.statement(), List.of());
        } else {
            PreparedStatements.Portal portal = prepared.portal(body.readString());
            describe(portal.statement(), portal.formats());
        }
    }

    private void describe(Statement statement, List<Integer> formats) {
        if (statement.columns().isEmpty()) {
            output.add(BackendFrames.empty('n'));
        } else {
            describeRows(statement.columns(), formats);
        }
    }

    private void describeRows(List<Column> columns, List<Integer> formats) {
        if (columns.isEmpty()) {
            return;
        }
        List<Integer> each = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            each.add(ValueCodec.format(formats, i));
        }
        output.add(BackendFrames.rowDescription(
                columns.stream().map(Column::name).toList(),
                columns.stream().map(Column::typeOid).toList(),
                each));
    }

    private void execute(BodyReader body) {
        PreparedStatements.Portal portal = prepared.portal(body.readString());
        run(portal.statement(), portal.values(), result -> {
            if (result.isLeft()) {
                fail(result.getLeft());
            } else {
                send(portal.statement(), result.get(), portal.formats());
            }
        });
    }

    private void run(Statement statement, List<String> values, Consumer<Either<SqlFailure, QueryResult>> done) {
        busy = true;
        runner.run(statement, values, result -> {
            busy = false;
            if (ended) {
                return;
            }
            done.accept(result);
            if (!handling) {
                idle.run();
            }
        });
    }

    private void send(Statement statement, QueryResult result, List<Integer> formats) {
        if (statement instanceof Statement.Empty) {
            output.add(BackendFrames.empty('I'));
            return;
        }
        if (statement instanceof Statement.Discard discard && !discard.tag().equals("RESET")) {
            prepared.clear();
        }
        result.rows().forEach(r -> output.add(row(result.columns(), r, formats)));
        output.add(BackendFrames.commandComplete(result.tag()));
    }

    private static Frame row(List<Column> columns, List<String> cells, List<Integer> formats) {
        List<Option<byte[]>> values = new ArrayList<>();
        for (int i = 0; i < cells.size(); i++) {
            int format = ValueCodec.format(formats, i);
            values.add(
                    Option.some(ValueCodec.encode(cells.get(i), columns.get(i).typeOid(), format)));
        }
        return BackendFrames.dataRow(values);
    }

    private void sync() {
        skipping = false;
        endCycle();
    }

    private void endCycle() {
        transaction.endCycle(runtime.thread().nowNanos()).ifPresent(this::report);
        skipping = false;
        ready();
    }

    private void reportCommit(LogPosition position) {
        output.add(BackendFrames.parameterStatus("hyssop.commit", position.toString()));
        runtime.committed();
    }

    private void fail(SqlFailure failure) {
        transaction.fail();
        skipping = true;
        report(failure);
    }

    private void report(SqlFailure failure) {
        output.add(BackendFrames.errorResponse("ERROR", failure.error().sqlState(), failure.describe(), "", ""));
    }
}
