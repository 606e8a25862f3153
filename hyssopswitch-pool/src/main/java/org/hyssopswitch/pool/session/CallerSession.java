package org.hyssopswitch.pool.session;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hyssopswitch.core.admission.AdmissionListener;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Route;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;
import org.hyssopswitch.proxy.net.GuardedTaskUtils;

/** The session of one caller; executes its statements one at a time, in order. */
public final class CallerSession {

    /** Time for which a new session waits for the first configuration, milliseconds: callers time out after 2 s. */
    private static final long CONFIGURATION_WAIT_MILLIS = 1_900;

    /** Statements that a caller may pipeline; a session that exceeds them is closed. */
    private static final int MAX_PIPELINED_STATEMENTS = 64;

    /** Fraction of the latency objective for which an operation may wait for its client account's rate. */
    private static final double MAX_RATE_WAIT_RATIO = 0.2;

    /** Reason given to callers whose transaction or operation ends because of a stop. */
    private static final String STOPPING = "the VM is stopping";

    private final Sessions sessions;
    private final CallerLink link;
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, PreparedShape> prepared = new HashMap<>();
    private final Deque<Request> pipeline = new ArrayDeque<>();
    private String database = "";
    private String key = "";
    private boolean awaitingConfiguration;
    private long awaitingSinceMillis;
    private boolean open;
    private boolean closed;
    private boolean statementRunning;
    private long requestStartMillis;
    private Option<Request> currentRequest = Option.none();
    private Option<AutocommitStatement> autocommit = Option.none();
    private Option<CallerTransaction> transaction = Option.none();
    private LogPosition floor = LogPosition.ZERO;

    CallerSession(Sessions sessions, CallerLink link) {
        this.sessions = sessions;
        this.link = link;
    }

    /**
     * Opens the session, or lets it wait for the first configuration.
     *
     * @param requestedDatabase the database name
     * @param presentedKey the caller's key; empty if it presents none
     */
    public void start(String requestedDatabase, String presentedKey) {
        database = requestedDatabase;
        key = presentedKey;
        if (sessions.hasConfiguration()) {
            openOrRefuse();
        } else {
            awaitingSinceMillis = nowMillis();
            awaitingConfiguration = true;
        }
    }

    /** Opens or refuses the session under the current configuration. */
    void openOrRefuse() {
        awaitingConfiguration = false;
        Either<ErrorCode, Authorization> authorization = authorize()
                .filterOrElse(allowed -> sessions.mayStart(allowed.route()), allowed -> ErrorCode.OVERLOADED);
        if (open || authorization.isLeft()) {
            ErrorCode code = open ? ErrorCode.MALFORMED : authorization.getLeft();
            sessions.log().sessionRefused(database, code, sessions.catalog().version());
            closed = true;
            link.refuseSession(
                    code,
                    "the session is refused under configuration "
                            + sessions.catalog().version());
            sessions.remove(this);
            return;
        }
        open = true;
        sessions.prefetch(new CallerTransaction(this, authorization.get(), AdmissionPermit.NONE, true), false);
        link.acceptSession();
    }

    /**
     * Queues a statement for execution.
     *
     * @param id the caller's identifier of the statement
     * @param statement the statement
     */
    public void statementReceived(String id, CallerStatement statement) {
        if (closed) {
            return;
        }
        if (!open || pipeline.size() >= MAX_PIPELINED_STATEMENTS) {
            close();
            return;
        }
        pipeline.addLast(new Request(id, statement));
        runNext();
    }

    /** Ends the session after the caller closed it or its connection was lost. */
    public void disconnected() {
        if (!closed) {
            closed = true;
            autocommit.forEach(AutocommitStatement::abandon);
            transaction.forEach(CallerTransaction::abandon);
            sessions.remove(this);
        }
    }

    /** Closes the connection and ends the session. */
    void close() {
        link.close();
        disconnected();
    }

    /** Whether the session is not starting, runs no statement and has no transaction open. */
    boolean isIdle() {
        return !statementRunning && !awaitingConfiguration && transaction.isEmpty();
    }

    /** Aborts an open transaction, because the VM stops, unless a statement is running. */
    void abortIdleTransaction() {
        if (!statementRunning) {
            transaction.forEach(running -> running.abort(STOPPING));
        }
    }

    void tick(long nowMillis) {
        if (awaitingConfiguration && sessions.hasConfiguration()) {
            openOrRefuse();
        } else if (awaitingConfiguration && nowMillis - awaitingSinceMillis > CONFIGURATION_WAIT_MILLIS) {
            close();
        }
        autocommit.forEach(statement -> statement.tick(nowMillis));
        transaction.forEach(running -> running.tick(nowMillis));
    }

    long nowMillis() {
        return sessions.nowMillis();
    }

    LogPosition floor() {
        return floor;
    }

    Map<String, String> values() {
        return values;
    }

    long transactionIdleMillis() {
        return sessions.catalog().transactionIdleMillis();
    }

    long hedgeAfterMillis(Route route) {
        return sessions.hedgeAfterMillis(route);
    }

    void raiseFloor(LogPosition position) {
        floor = floor.max(position);
    }

    /** Returns why what was authorized may not go on under the current configuration; nothing if it may. */
    Option<StatementOutcome.Failed> revocation(Authorization authorization) {
        return authorization.revocation(sessions.catalog(), key);
    }

    void submit(CallerOperation operation) {
        sessions.submit(operation);
    }

    void confirmCommit(Route route, Option<LogPosition> commit, Consumer<Boolean> done) {
        sessions.confirmCommit(route, commit, done);
    }

    /** Logs a retry of the current statement. */
    void logRetry(String endpointId, ErrorCode code, int attempt) {
        currentRequest.forEach(running -> sessions.log().requestRetried(running.id(), endpointId, code, attempt));
    }

    void clearTransaction() {
        transaction = Option.none();
    }

    /** Completes the current statement with an endpoint's reply. */
    void completeStatement(Reply reply) {
        sendReply(new Reply(reply.rows(), reply.outcome(), status(), reply.position()));
    }

    /** Completes the current statement with an outcome that the VM determined. */
    void completeStatement(StatementOutcome outcome, Option<LogPosition> position) {
        sendReply(new Reply(List.of(), outcome, status(), position));
    }

    private void sendReply(Reply reply) {
        autocommit = Option.none();
        statementRunning = false;
        long tookMillis = nowMillis() - requestStartMillis;
        currentRequest.forEach(ended -> {
            Option<Authorization> known = authorize().toOption();
            String account =
                    known.map(authorization -> authorization.account().name()).getOrElse("unknown");
            sessions.log()
                    .requestCompleted(
                            new RequestLog.RequestContext(
                                    ended.id(),
                                    database,
                                    account,
                                    sessions.catalog().version()),
                            reply,
                            tookMillis);
            sessions.metrics().recordRequest(known, reply, tookMillis);
        });
        currentRequest = Option.none();
        if (!closed) {
            link.reply(reply);
            endIfStopping();
            runNext();
        }
    }

    /**
     * Ends the transaction or the session at the boundary that a reply makes, because the VM stops. A caller that sends
     * its next statement at once is never found idle later.
     */
    private void endIfStopping() {
        if (sessions.endsTransactions()) {
            abortIdleTransaction();
        }
        if (isIdle() && pipeline.isEmpty() && sessions.endsAfterOperation()) {
            close();
        }
    }

    private TransactionStatus status() {
        return transaction
                .map(running -> running.isFailed() ? TransactionStatus.FAILED : TransactionStatus.OPEN)
                .getOrElse(TransactionStatus.IDLE);
    }

    private void runNext() {
        if (statementRunning || closed || pipeline.isEmpty()) {
            return;
        }
        Request next = pipeline.removeFirst();
        statementRunning = true;
        requestStartMillis = nowMillis();
        currentRequest = Option.some(next);
        runOrClose(() -> dispatch(next));
    }

    /** Runs a step of a statement; a caller whose statement fails unexpectedly must not wait for its reply for ever. */
    private void runOrClose(Runnable step) {
        if (!GuardedTaskUtils.run("statement", step)) {
            close();
        }
    }

    private void dispatch(Request next) {
        CallerStatement statement = next.statement();
        if (transaction.exists(CallerTransaction::isFailed) && !endsTransaction(statement)) {
            Option<String> cause = transaction.get().takeAbortCause();
            fail(
                    cause.isDefined() ? ErrorCode.ABORTED : ErrorCode.MALFORMED,
                    cause.getOrElse("the transaction failed"));
        } else if (statement instanceof CallerStatement.Begin begin) {
            begin(begin);
        } else if (statement instanceof CallerStatement.Commit commit) {
            commit(next.id(), commit);
        } else if (statement instanceof CallerStatement.Rollback) {
            transaction.filter(running -> !running.isFailed()).forEach(CallerTransaction::rollback);
            transaction = Option.none();
            succeed();
        } else if (statement instanceof CallerStatement.SetValue set) {
            values.put(set.name(), set.value());
            succeed();
        } else if (statement instanceof CallerStatement.Prepare prepare) {
            prepared.put(prepare.name(), prepare.shape());
            succeed();
        } else if (statement instanceof CallerStatement.Deallocate deallocate) {
            prepared.remove(deallocate.name());
            succeed();
        } else if (statement instanceof CallerStatement.Malformed malformed) {
            fail(ErrorCode.MALFORMED, malformed.reason());
        } else {
            toExecutable(next.id(), statement)
                    .peek(this::execute)
                    .peekLeft(reason -> fail(ErrorCode.STATEMENT_UNKNOWN, reason));
        }
    }

    private static boolean endsTransaction(CallerStatement statement) {
        return statement instanceof CallerStatement.Commit || statement instanceof CallerStatement.Rollback;
    }

    private Either<String, ExecutableStatement> toExecutable(String id, CallerStatement statement) {
        if (statement instanceof CallerStatement.Read read) {
            return Either.right(new ExecutableStatement(id, read.text(), Option.none(), false));
        }
        if (statement instanceof CallerStatement.Write write) {
            return Either.right(new ExecutableStatement(id, write.text(), Option.none(), true));
        }
        CallerStatement.Execute execute = (CallerStatement.Execute) statement;
        return Option.of(prepared.get(execute.name()))
                .map(shape -> new ExecutableStatement(id, execute.arguments(), Option.some(shape), shape.write()))
                .toEither("no statement is prepared under this name");
    }

    private void begin(CallerStatement.Begin begin) {
        if (transaction.isDefined()) {
            fail(ErrorCode.MALFORMED, "a transaction is open");
            return;
        }
        if (sessions.endsTransactions()) {
            fail(ErrorCode.OVERLOADED, STOPPING);
            return;
        }
        admit((authorization, permit) -> {
            transaction = Option.some(new CallerTransaction(this, authorization, permit, begin.readOnly()));
            sessions.prefetch(transaction.get(), true);
            succeed();
        });
    }

    private void commit(String id, CallerStatement.Commit commit) {
        if (transaction.isEmpty()) {
            fail(ErrorCode.MALFORMED, "no transaction is open");
        } else if (transaction.get().isFailed()) {
            transaction = Option.none();
            fail(ErrorCode.ABORTED, "the transaction was rolled back");
        } else if (!sessions.mayStart(transaction.get().route())) {
            refuseCommit(ErrorCode.ABORTED, STOPPING);
        } else {
            transaction
                    .get()
                    .revocation()
                    .peek(revoked -> refuseCommit(revoked.code(), revoked.text()))
                    .onEmpty(() ->
                            transaction.get().commit(new ExecutableStatement(id, commit.text(), Option.none(), false)));
        }
    }

    /** Rolls back instead of committing. */
    private void refuseCommit(ErrorCode code, String reason) {
        transaction.get().rollback();
        transaction = Option.none();
        fail(code, reason);
    }

    private void execute(ExecutableStatement statement) {
        if (transaction.isDefined()) {
            if (mayContinue()) {
                transaction.get().execute(statement);
            }
            return;
        }
        admit((authorization, permit) -> {
            autocommit = Option.some(new AutocommitStatement(this, authorization, permit, statement));
            autocommit.get().submit();
        });
    }

    /** Returns whether a statement of the transaction may run; if not, rolls it back and fails the statement. */
    private boolean mayContinue() {
        if (!sessions.mayStart(transaction.get().route())) {
            transaction.get().rollback();
            fail(ErrorCode.ABORTED, STOPPING);
            return false;
        }
        Option<StatementOutcome.Failed> revoked = transaction.get().revocation();
        revoked.forEach(failure -> {
            transaction.get().rollback();
            fail(failure.code(), failure.text());
        });
        return revoked.isEmpty();
    }

    /** Checks route, key and rate for a new operation; fails the statement if the operation is refused. */
    private void admit(BiConsumer<Authorization, AdmissionPermit> start) {
        Either<ErrorCode, Authorization> authorization = authorize();
        if (authorization.isLeft()) {
            fail(
                    authorization.getLeft(),
                    "refused under configuration " + sessions.catalog().version());
            return;
        }
        if (!sessions.mayStart(authorization.get().route())) {
            fail(ErrorCode.OVERLOADED, STOPPING);
            return;
        }
        long maxWaitMillis = Math.round(authorization.get().route().objectiveMillis() * MAX_RATE_WAIT_RATIO);
        sessions.limiter()
                .admit(
                        authorization.get().account(),
                        maxWaitMillis,
                        new RateAdmissionListener(authorization.get(), start));
    }

    private Either<ErrorCode, Authorization> authorize() {
        Catalog catalog = sessions.catalog();
        Option<Route> route = catalog.findRoute(database);
        if (route.isEmpty()) {
            return Either.left(ErrorCode.DATABASE_UNKNOWN);
        }
        return catalog.findAccount(key)
                .orElse(() -> route.filter(Route::open).map(open -> Account.ANONYMOUS))
                .map(account -> new Authorization(route.get(), account))
                .toEither(ErrorCode.KEY_UNKNOWN);
    }

    private void succeed() {
        completeStatement(StatementOutcome.Success.LOCAL, Option.none());
    }

    private void fail(ErrorCode code, String reason) {
        completeStatement(new StatementOutcome.Failed(code, reason), Option.none());
    }

    private final class RateAdmissionListener implements AdmissionListener {

        private final Authorization authorization;
        private final BiConsumer<Authorization, AdmissionPermit> start;

        RateAdmissionListener(Authorization authorization, BiConsumer<Authorization, AdmissionPermit> start) {
            this.authorization = authorization;
            this.start = start;
        }

        @Override
        public void admitted(AdmissionPermit permit) {
            runOrClose(() -> start.accept(authorization, permit));
        }

        @Override
        public void refused(long retryAfterMillis) {
            refuse("the client account " + authorization.account().name() + " is beyond its rate; retry_after_ms="
                    + retryAfterMillis);
        }

        @Override
        public void undecided(long retryAfterMillis) {
            refuse("no VM that holds the tokens of client account "
                    + authorization.account().name() + " answered; retry_after_ms=" + retryAfterMillis);
        }

        @Override
        public boolean isPending() {
            return !closed;
        }

        private void refuse(String reason) {
            runOrClose(() -> fail(ErrorCode.OVERLOADED, reason));
        }
    }

    private record Request(String id, CallerStatement statement) {}
}
