package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.endpoint.PooledConnection;
import org.hyssopswitch.pool.endpoint.ReplyHandler;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;

/**
 * A transaction of a caller. It acquires a connection for its first statement and holds it until it ends.
 *
 * <p>Until the first statement has succeeded, the transaction may move to another endpoint; afterwards the loss of its
 * connection ends it.
 */
final class CallerTransaction extends CallerOperation {

    /** Attempts to start: one at each endpoint of a group of three, and a last one at the primary. */
    private static final int MAX_ATTEMPTS = 4;

    private Option<PooledConnection> connection = Option.none();
    private Option<ExecutableStatement> currentStatement = Option.none();
    private boolean committing;
    private boolean awaitingConfirmation;
    private boolean statementSucceeded;
    private boolean hasWritten;
    private boolean ended;
    private Option<String> abortCause = Option.none();
    private int attempts;
    private long statementStartMillis;
    private long idleSinceMillis;

    CallerTransaction(CallerSession session, Authorization authorization, AdmissionPermit permit, boolean readOnly) {
        super(session, authorization, permit, !readOnly);
        this.idleSinceMillis = session.nowMillis();
    }

    /** Whether the transaction has ended and only accepts a commit or rollback. */
    boolean isFailed() {
        return ended;
    }

    /** Returns, once, why the VM aborted the transaction between two statements. */
    Option<String> takeAbortCause() {
        Option<String> cause = abortCause;
        abortCause = Option.none();
        return cause;
    }

    void execute(ExecutableStatement statement) {
        currentStatement = Option.some(statement);
        statementStartMillis = session().nowMillis();
        if (connection.isDefined()) {
            connection.get().applySession(session().values(), statement.shape());
            connection.get().send(statement.command(Option.none()), new StatementHandler(connection.get()));
        } else {
            submit();
        }
    }

    void commit(ExecutableStatement statement) {
        committing = true;
        execute(statement);
    }

    /** Rolls back without waiting for the endpoint's reply. */
    void rollback() {
        ended = true;
        connection.forEach(open -> {
            open.send(new EndpointCommand.Rollback(), ReplyHandler.NONE);
            open.release();
        });
        connection = Option.none();
    }

    @Override
    public void assigned(PooledConnection assigned, Option<LogPosition> floor) {
        if (ended) {
            assigned.release();
            return;
        }
        Option<StatementOutcome.Failed> revoked = revocation();
        if (revoked.isDefined()) {
            assigned.release();
            fail(revoked.get().code(), revoked.get().text());
            return;
        }
        attempts++;
        connection = Option.some(assigned);
        assigned.applySession(session().values(), currentStatement.get().shape());
        boolean primaryCheck = floor.isEmpty();
        assigned.send(new EndpointCommand.Begin(!primaryCheck, floor), new BeginHandler(assigned, primaryCheck));
    }

    @Override
    public void refused(ErrorCode code, String reason) {
        if (!ended) {
            fail(ErrorCode.ABORTED, reason);
        }
    }

    @Override
    void tick(long nowMillis) {
        if (ended) {
            return;
        }
        if (currentStatement.isDefined() && nowMillis - statementStartMillis >= route().timeoutMillis()) {
            boolean outcomeUnknown = awaitingConfirmation || (committing && connection.isDefined() && hasWritten);
            fail(
                    outcomeUnknown ? ErrorCode.TIMEOUT : ErrorCode.ABORTED,
                    awaitingConfirmation
                            ? "the commit was not confirmed within the route's timeout"
                            : "no answer from endpoint " + endpointId() + " within the route's timeout");
        } else if (currentStatement.isEmpty()
                && connection.isDefined()
                && nowMillis - idleSinceMillis >= session().transactionIdleMillis()) {
            abort("the transaction was idle for too long");
        }
    }

    /** Aborts the transaction between two statements; the reply to the next statement reports the cause. */
    void abort(String cause) {
        if (!ended) {
            rollback();
            abortCause = Option.some(cause);
        }
    }

    @Override
    void abandon() {
        if (!ended) {
            giveBackUnusedToken();
            rollback();
        }
    }

    /** Ends the transaction and fails the current statement. */
    private void fail(ErrorCode code, String reason) {
        boolean commit = committing;
        giveBackUnusedToken();
        ended = true;
        currentStatement = Option.none();
        connection.forEach(PooledConnection::discard);
        connection = Option.none();
        if (commit) {
            session().clearTransaction();
        }
        session().completeStatement(new StatementOutcome.Failed(code, reason), Option.none());
    }

    private void giveBackUnusedToken() {
        if (attempts == 0) {
            giveBackToken();
        }
    }

    private String endpointId() {
        return connection.map(PooledConnection::endpointId).getOrElse("none");
    }

    private void retryOrFail(ErrorCode code, String reason) {
        String failedEndpoint = endpointId();
        connection = Option.none();
        boolean timedOut = session().nowMillis() - statementStartMillis >= route().timeoutMillis();
        if (timedOut || attempts >= MAX_ATTEMPTS) {
            fail(ErrorCode.ABORTED, reason + " (" + code + ")");
        } else {
            session().logRetry(failedEndpoint, code, attempts);
            submit();
        }
    }

    /** Answers a commit once it outlasts every promotion; the connection is not needed meanwhile. */
    private void awaitConfirmation(PooledConnection pooled, Reply reply) {
        awaitingConfirmation = true;
        connection = Option.none();
        pooled.release();
        session().confirmCommit(route(), reply.position(), kept -> {
            if (ended) {
                return;
            }
            if (kept) {
                statementCompleted(reply);
            } else {
                fail(
                        ErrorCode.IN_DOUBT,
                        "endpoint " + pooled.endpointId() + " was replaced before the commit was confirmed");
            }
        });
    }

    private void statementCompleted(Reply reply) {
        currentStatement = Option.none();
        idleSinceMillis = session().nowMillis();
        statementSucceeded = true;
        if (committing) {
            commitCompleted(reply);
        }
        session().completeStatement(reply);
    }

    private void commitCompleted(Reply reply) {
        ended = true;
        if (hasWritten) {
            reply.position().forEach(session()::raiseFloor);
        }
        connection.forEach(PooledConnection::release);
        connection = Option.none();
        session().clearTransaction();
    }

    /** Handles an error that the endpoint reported for a statement. */
    private void handleStatementError(PooledConnection pooled, StatementOutcome.Failed error) {
        boolean retryable = !statementSucceeded
                && currentStatement.exists(statement -> !statement.write() || wasNotExecuted(error.code()));
        if (error.code() == ErrorCode.READ_ONLY && primaryOnly()) {
            pooled.reportNotPrimary();
        }
        boolean statementLost = error.code() == ErrorCode.STATEMENT_UNKNOWN;
        if (statementLost) {
            pooled.clearPrepared();
        }
        if (retryable && wasNotExecuted(error.code())) {
            pooled.send(new EndpointCommand.Rollback(), ReplyHandler.NONE);
            pooled.release();
            exclude(pooled.endpointId());
            retryOrFail(error.code(), error.text());
            return;
        }
        // The caller's preparing was acknowledged, so to the caller the statement cannot be unknown.
        failAndRollBack(
                pooled,
                statementLost
                        ? new StatementOutcome.Failed(ErrorCode.ABORTED, "the endpoint lost the prepared statement")
                        : error);
    }

    private void failAndRollBack(PooledConnection pooled, StatementOutcome.Failed error) {
        ended = true;
        currentStatement = Option.none();
        connection = Option.none();
        if (committing) {
            session().clearTransaction();
        }
        pooled.send(new EndpointCommand.Rollback(), ReplyHandler.NONE);
        pooled.release();
        session().completeStatement(error, Option.none());
    }

    private static boolean wasNotExecuted(ErrorCode code) {
        return switch (code) {
            case OVERLOADED, LAGGING, READ_ONLY, STATEMENT_UNKNOWN -> true;
            default -> false;
        };
    }

    /** Handles the reply to the start of the transaction at the endpoint. */
    private final class BeginHandler implements ReplyHandler {

        private final PooledConnection pooled;
        private final boolean primaryCheck;
        private final long sentMillis = session().nowMillis();

        BeginHandler(PooledConnection pooled, boolean primaryCheck) {
            this.pooled = pooled;
            this.primaryCheck = primaryCheck;
        }

        @Override
        public void replied(Reply reply) {
            if (ended) {
                return;
            }
            if (reply.outcome() instanceof StatementOutcome.Failed error) {
                if (primaryCheck && error.code() == ErrorCode.READ_ONLY) {
                    pooled.reportNotPrimary();
                } else {
                    exclude(pooled.endpointId());
                }
                pooled.release();
                retryOrFail(error.code(), error.text());
                return;
            }
            if (primaryCheck) {
                reply.position().forEach(position -> pooled.reportPrimaryOnceConfirmed(sentMillis, position));
            }
            pooled.send(currentStatement.get().command(Option.none()), new StatementHandler(pooled));
        }

        @Override
        public void connectionLost() {
            if (!ended) {
                retryOrFail(ErrorCode.ABORTED, "the connection to the endpoint broke");
            }
        }
    }

    /** Handles the reply to a statement of the caller. */
    private final class StatementHandler implements ReplyHandler {

        private final PooledConnection pooled;

        StatementHandler(PooledConnection pooled) {
            this.pooled = pooled;
            hasWritten |= currentStatement.exists(ExecutableStatement::write);
        }

        @Override
        public void replied(Reply reply) {
            if (ended) {
                return;
            }
            if (reply.outcome() instanceof StatementOutcome.Failed error) {
                handleStatementError(pooled, error);
            } else if (!committing && reply.status() != TransactionStatus.OPEN) {
                fail(ErrorCode.ABORTED, "the endpoint ended the transaction");
            } else if (committing && hasWritten) {
                awaitConfirmation(pooled, reply);
            } else {
                statementCompleted(reply);
            }
        }

        @Override
        public void connectionLost() {
            if (!ended) {
                boolean outcomeUnknown = committing && hasWritten;
                fail(
                        outcomeUnknown ? ErrorCode.IN_DOUBT : ErrorCode.ABORTED,
                        "the connection to endpoint " + pooled.endpointId() + " broke");
            }
        }

        @Override
        public void outOfStep() {
            if (!ended) {
                // The transaction may never have started at the endpoint, so that its writes were kept one by one.
                fail(
                        hasWritten ? ErrorCode.IN_DOUBT : ErrorCode.ABORTED,
                        "the replies of endpoint " + pooled.endpointId() + " did not match its commands");
            }
        }
    }
}
