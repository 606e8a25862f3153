package org.hyssopswitch.standin.group;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlException;
import org.hyssopswitch.standin.sql.SqlFailure;
import org.hyssopswitch.standin.sql.Statement;

/** Runs the statements of one session, one at a time. */
final class StatementRunner {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final SqlFailure CANCELLED =
            new SqlFailure(SqlError.CANCELLED, "canceling statement due to user request");

    private final EndpointRuntime runtime;
    private final boolean reader;
    private final SessionTransaction transaction;
    private final Map<String, String> startupParameters;
    private final Map<String, String> parameters;
    private Optional<Running> running = Optional.empty();

    /**
     * Creates a runner.
     *
     * @param parameters the session's parameters, which SET changes
     */
    StatementRunner(
            EndpointRuntime runtime, boolean reader, SessionTransaction transaction, Map<String, String> parameters) {
        this.runtime = runtime;
        this.reader = reader;
        this.transaction = transaction;
        this.startupParameters = Map.copyOf(parameters);
        this.parameters = parameters;
    }

    /** Runs a statement and reports its result, now or later. */
    void run(Statement statement, List<String> values, Consumer<Either<SqlFailure, QueryResult>> done) {
        try {
            start(statement, values, done);
        } catch (SqlException e) {
            done.accept(Either.left(e.sqlFailure()));
        }
    }

    /** Ends the running statement with an error, if one runs. */
    void cancel() {
        running.ifPresent(Running::cancel);
    }

    private void start(Statement statement, List<String> values, Consumer<Either<SqlFailure, QueryResult>> done) {
        boolean ends = statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
        Optional<SqlFailure> refusal = ends ? Optional.empty() : transaction.refusal();
        if (refusal.isPresent()) {
            done.accept(Either.left(refusal.get()));
        } else if (statement instanceof Statement.Control control) {
            control(control, values, done);
        } else if (statement instanceof Statement.Select
                || statement instanceof Statement.Insert
                || statement instanceof Statement.Update) {
            new RunningData(statement, values, done).start();
        } else {
            done.accept(session(statement));
        }
    }

    private void control(Statement.Control call, List<String> values, Consumer<Either<SqlFailure, QueryResult>> done) {
        if (reader) {
            throw new SqlException(SqlError.NOT_PERMITTED, "the reader may not call " + call.function());
        }
        new RunningControl(call, done).start(values);
    }

    private Either<SqlFailure, QueryResult> session(Statement statement) {
        if (statement instanceof Statement.Begin begin) {
            transaction.begin(begin.readOnly());
            return Either.right(QueryResult.tag("BEGIN"));
        }
        if (statement instanceof Statement.Commit) {
            return transaction.commit(runtime.thread().nowNanos()).map(QueryResult::tag);
        }
        if (statement instanceof Statement.Rollback) {
            transaction.rollback();
            return Either.right(QueryResult.tag("ROLLBACK"));
        }
        return Either.right(parameter(statement));
    }

    private QueryResult parameter(Statement statement) {
        if (statement instanceof Statement.SetParameter set) {
            parameters.put(set.name(), set.value());
            return QueryResult.tag("SET");
        }
        if (statement instanceof Statement.SetReadOnly set) {
            transaction.setReadOnly(set.readOnly(), set.session());
            return QueryResult.tag("SET");
        }
        if (statement instanceof Statement.Show show) {
            return new QueryResult(show.columns(), List.of(List.of(shown(show.name()))), "SHOW");
        }
        if (statement instanceof Statement.Discard discard) {
            transaction.setReadOnly(false, true);
            parameters.clear();
            parameters.putAll(startupParameters);
            return QueryResult.tag(discard.tag());
        }
        return QueryResult.tag("");
    }

    private String shown(String name) {
        return switch (name) {
            case "transaction_isolation", "transaction_isolation_level" -> "read committed";
            case "hyssop.endpoint" -> runtime.endpoint().id().value();
            case "hyssop.endpoint_role" -> runtime.endpoint().role().name().toLowerCase(Locale.ROOT);
            default -> parameters.getOrDefault(name, "");
        };
    }

    /** Work that can be cancelled. */
    private interface Running {
        void cancel();
    }

    /** A control call whose reply is outstanding. */
    private final class RunningControl implements Running {

        private final Statement.Control call;
        private final Consumer<Either<SqlFailure, QueryResult>> done;
        private final Consumer<ControlReply> reply = this::replied;

        RunningControl(Statement.Control call, Consumer<Either<SqlFailure, QueryResult>> done) {
            this.call = call;
            this.done = done;
        }

        void start(List<String> values) {
            ControlRequest request = ControlCalls.request(call, values);
            running = Optional.of(this);
            runtime.control(request, reply);
        }

        @Override
        public void cancel() {
            runtime.forgetAwait(reply);
            running = Optional.empty();
            done.accept(Either.left(CANCELLED));
        }

        private void replied(ControlReply result) {
            running = Optional.empty();
            done.accept(Either.right(ControlCalls.result(call, result)));
        }
    }

    /** A read or write that waits for its slot or occupies it. */
    private final class RunningData implements Running {

        private final Statement statement;
        private final List<String> values;
        private final Consumer<Either<SqlFailure, QueryResult>> done;
        private final Runnable granted = this::granted;
        private final long delayNanos;
        private Optional<Runnable> timer = Optional.empty();

        RunningData(Statement statement, List<String> values, Consumer<Either<SqlFailure, QueryResult>> done) {
            this.statement = statement;
            this.values = values;
            this.done = done;
            long serviceNanos =
                    runtime.faults().serviceMicros(runtime.endpoint().id()) * NANOS_PER_MICRO;
            this.delayNanos =
                    serviceNanos + (long) (StatementExecutor.sleepSeconds(statement, values) * NANOS_PER_SECOND);
        }

        void start() {
            running = Optional.of(this);
            runtime.countStatement();
            runtime.gate().acquire(granted);
        }

        @Override
        public void cancel() {
            if (!runtime.gate().withdraw(granted)) {
                timer.ifPresent(Runnable::run);
                runtime.gate().release();
            }
            running = Optional.empty();
            done.accept(Either.left(CANCELLED));
        }

        private void granted() {
            if (delayNanos == 0) {
                finish();
            } else {
                timer = Optional.of(
                        runtime.thread().scheduleCancellable(() -> runtime.whenAwake(this::finish), delayNanos));
            }
        }

        private void finish() {
            if (!running.equals(Optional.of(this))) {
                return;
            }
            Either<SqlFailure, QueryResult> result = evaluate();
            running = Optional.empty();
            runtime.gate().release();
            done.accept(result);
        }

        private Either<SqlFailure, QueryResult> evaluate() {
            try {
                return Either.right(
                        new StatementExecutor(runtime.endpoint(), transaction.current(), values).run(statement));
            } catch (SqlException e) {
                return Either.left(e.sqlFailure());
            }
        }
    }
}
