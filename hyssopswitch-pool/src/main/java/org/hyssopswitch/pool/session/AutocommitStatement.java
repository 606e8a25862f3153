package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.endpoint.PooledConnection;
import org.hyssopswitch.pool.endpoint.ReplyHandler;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;

/**
 * A statement outside a transaction.
 *
 * <p>Reads are retried at other endpoints until one answers; a write is retried only if the endpoint reported that it
 * did not run. A read that must see every commit runs inside a transaction that the VM starts itself, because only the
 * start of a transaction proves that the endpoint is still the primary.
 */
final class AutocommitStatement extends CallerOperation {

    /** Attempts per statement: one at each endpoint of a group of three, and a last one at the primary. */
    private static final int MAX_ATTEMPTS = 4;

    private final ExecutableStatement statement;
    private final long startedMillis;
    private Option<PooledConnection> currentConnection = Option.none();
    private long attemptStartMillis;
    private int attempts;
    private boolean hedged;
    private boolean awaitingConfirmation;
    private boolean done;

    AutocommitStatement(
            CallerSession session, Authorization authorization, AdmissionPermit permit, ExecutableStatement statement) {
        super(session, authorization, permit, statement.write());
        this.statement = statement;
        this.startedMillis = session.nowMillis();
    }

    @Override
    public void assigned(PooledConnection connection, Option<LogPosition> floor) {
        if (done) {
            connection.release();
            return;
        }
        Option<StatementOutcome.Failed> revoked = revocation();
        if (revoked.isDefined()) {
            connection.release();
            fail(revoked.get().code(), revoked.get().text());
            return;
        }
        attempts++;
        currentConnection = Option.some(connection);
        attemptStartMillis = session().nowMillis();
        connection.applySession(session().values(), statement.shape());
        if (statement.write() || floor.isDefined()) {
            connection.send(statement.command(floor), new StatementHandler(connection, false));
        } else {
            connection.send(new EndpointCommand.Begin(false, Option.none()), new PrimaryCheckHandler(connection));
        }
    }

    @Override
    public void refused(ErrorCode code, String reason) {
        if (currentConnection.isEmpty()) {
            fail(code, reason);
        }
    }

    @Override
    void tick(long nowMillis) {
        if (done) {
            return;
        }
        if (nowMillis - startedMillis >= route().timeoutMillis()) {
            boolean writeSent = awaitingConfirmation || (statement.write() && currentConnection.isDefined());
            Option<PooledConnection> unanswered = currentConnection;
            if (!done) {
                fail(
                        writeSent ? ErrorCode.TIMEOUT : ErrorCode.OVERLOADED,
                        awaitingConfirmation
                                ? "the commit was not confirmed within the route's timeout"
                                : "no answer from endpoint " + endpointId() + " within the route's timeout");
            }
            unanswered.forEach(PooledConnection::discard);
        } else if (currentConnection.isDefined() && !statement.write() && !hedged) {
            hedge(nowMillis);
        }
    }

    @Override
    void abandon() {
        end();
    }

    /** Sends a slow read to another endpoint while the first one may still answer. */
    private void hedge(long nowMillis) {
        if (!primaryOnly() && nowMillis - attemptStartMillis > session().hedgeAfterMillis(route())) {
            hedged = true;
            exclude(currentConnection.get().endpointId());
            submit();
        }
    }

    private void retryOrFail(ErrorCode code, String reason) {
        boolean timedOut = session().nowMillis() - startedMillis >= route().timeoutMillis();
        if (done) {
            return;
        }
        String failedEndpoint = endpointId();
        currentConnection = Option.none();
        if (timedOut || attempts >= MAX_ATTEMPTS) {
            fail(code, reason);
        } else {
            session().logRetry(failedEndpoint, code, attempts);
            submit();
        }
    }

    private String endpointId() {
        return currentConnection.map(PooledConnection::endpointId).getOrElse("none");
    }

    private void fail(ErrorCode code, String reason) {
        if (!done) {
            end();
            session().completeStatement(new StatementOutcome.Failed(code, reason), Option.none());
        }
    }

    private void end() {
        done = true;
        if (attempts == 0) {
            giveBackToken();
        }
    }

    private void succeed(Reply reply) {
        if (done) {
            return;
        }
        done = true;
        if (statement.write()) {
            reply.position().forEach(session()::raiseFloor);
        }
        session().completeStatement(reply);
    }

    /** Answers a write once its commit outlasts every promotion; its connection is not needed meanwhile. */
    private void awaitConfirmation(Reply reply) {
        String endpoint = endpointId();
        currentConnection = Option.none();
        awaitingConfirmation = true;
        session().confirmCommit(route(), reply.position(), kept -> {
            if (kept) {
                succeed(reply);
            } else {
                fail(ErrorCode.IN_DOUBT, "endpoint " + endpoint + " was replaced before the commit was confirmed");
            }
        });
    }

    /** Handles an error that an endpoint reported. */
    private void handleError(PooledConnection connection, ErrorCode code, String text) {
        switch (code) {
            case READ_ONLY -> {
                connection.reportNotPrimary();
                retryOrFail(ErrorCode.OVERLOADED, "the endpoint is no longer the primary");
            }
            case STATEMENT_UNKNOWN -> {
                connection.clearPrepared();
                retryOrFail(ErrorCode.OVERLOADED, "the endpoint lost the prepared statement");
            }
            case OVERLOADED, LAGGING -> {
                exclude(connection.endpointId());
                retryOrFail(ErrorCode.OVERLOADED, "endpoint " + connection.endpointId() + " reported " + code);
            }
            default -> {
                if (statement.write()) {
                    fail(code, text);
                } else {
                    exclude(connection.endpointId());
                    retryOrFail(code, text);
                }
            }
        }
    }

    /** Handles the reply to the statement itself. */
    private final class StatementHandler implements ReplyHandler {

        private final PooledConnection connection;
        private final boolean inOwnTransaction;

        StatementHandler(PooledConnection connection, boolean inOwnTransaction) {
            this.connection = connection;
            this.inOwnTransaction = inOwnTransaction;
        }

        @Override
        public void replied(Reply reply) {
            if (inOwnTransaction) {
                connection.send(new EndpointCommand.Rollback(), ReplyHandler.NONE);
            }
            if (reply.succeeded() && statement.write()) {
                reply.position().forEach(position -> connection.reportPrimary(attemptStartMillis, position));
            }
            if (reply.outcome() instanceof StatementOutcome.Failed error) {
                handleError(connection, error.code(), error.text());
            } else if (statement.write() && !done) {
                awaitConfirmation(reply);
            } else {
                succeed(reply);
            }
            connection.release();
        }

        @Override
        public void connectionLost() {
            if (statement.write()) {
                fail(
                        ErrorCode.IN_DOUBT,
                        "the connection to endpoint " + connection.endpointId()
                                + " broke after the statement was sent");
            } else {
                exclude(connection.endpointId());
                retryOrFail(ErrorCode.OVERLOADED, "the connection to the endpoint broke");
            }
        }

        @Override
        public void notSent() {
            retryOrFail(ErrorCode.OVERLOADED, "the session could not be set up at the endpoint");
        }
    }

    /** Handles the reply to the start of the VM's own transaction around a read. */
    private final class PrimaryCheckHandler implements ReplyHandler {

        private final PooledConnection connection;
        private final long sentMillis = session().nowMillis();

        PrimaryCheckHandler(PooledConnection connection) {
            this.connection = connection;
        }

        @Override
        public void replied(Reply reply) {
            if (reply.outcome() instanceof StatementOutcome.Failed error) {
                connection.release();
                handleError(connection, error.code(), error.text());
                return;
            }
            reply.position().forEach(position -> connection.reportPrimaryOnceConfirmed(sentMillis, position));
            connection.send(statement.command(Option.none()), new StatementHandler(connection, true));
        }

        @Override
        public void connectionLost() {
            retryOrFail(ErrorCode.OVERLOADED, "the connection to the endpoint broke");
        }
    }
}
