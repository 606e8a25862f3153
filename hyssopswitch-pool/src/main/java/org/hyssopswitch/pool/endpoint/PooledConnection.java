package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.hyssopswitch.core.connection.ExpectedReply;
import org.hyssopswitch.core.connection.ReplySequence;
import org.hyssopswitch.core.connection.ReplyVerdict;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;

/** A connection to an endpoint for one client account, used by one connection request at a time. */
public final class PooledConnection implements EndpointLink.Listener {

    private final EndpointPool pool;
    private final Account account;
    private final ReplySequence<PendingCommand> replies = new ReplySequence<>();
    private final ConnectionSessionState session = new ConnectionSessionState();

    /** Commands that wait until the endpoint has confirmed the session state that they need. */
    private final Deque<PendingCommand> held = new ArrayDeque<>();

    private final long createdMillis;
    private EndpointLink link;
    private State state = State.OPENING;
    private long stateSinceMillis;
    private boolean repeatLogged;
    private boolean outOfStep;
    private Option<PrimarySample> unconfirmed = Option.none();

    PooledConnection(EndpointPool pool, Account account, long nowMillis) {
        this.pool = pool;
        this.account = account;
        this.createdMillis = nowMillis;
        this.stateSinceMillis = nowMillis;
    }

    /** Returns the identifier of the endpoint. */
    public String endpointId() {
        return pool.endpoint().id();
    }

    /**
     * Applies the values of a session to the connection and prepares the statement that is executed next.
     *
     * @param sessionValues values of the session
     * @param shape the prepared statement to execute next, if any
     */
    public void applySession(Map<String, String> sessionValues, Option<PreparedShape> shape) {
        if (link instanceof BorrowedLink borrowed) {
            borrowed.applySession(sessionValues, shape);
            return;
        }
        boolean outsideTransaction = replies.status() == TransactionStatus.IDLE && replies.isComplete();
        session.apply(sessionValues, shape, outsideTransaction).forEach(command -> send(command, new SetupReply()));
    }

    /**
     * Sends a command.
     *
     * @param command the command
     * @param handler receives the reply
     */
    public void send(EndpointCommand command, ReplyHandler handler) {
        if (state == State.CLOSED) {
            fail(handler);
            return;
        }
        PendingCommand pending =
                new PendingCommand(command, ReplyFactUtils.expectedReply(command), handler, pool.nowMillis());
        if (awaitsSetup(pending.expected())) {
            held.addLast(pending);
        } else {
            transmit(pending);
        }
    }

    /** Clears the record of prepared statements and values, after the endpoint reported a statement as unknown. */
    public void clearPrepared() {
        session.markUnknown();
    }

    /**
     * Reports a log position from a reply that only a primary gives.
     *
     * @param askedMillis time at which the command was sent, milliseconds of the monotonic clock
     * @param position the position
     */
    public void reportPrimary(long askedMillis, LogPosition position) {
        pool.callbacks().primaryConfirmed(pool.endpoint().id(), askedMillis, position);
    }

    /**
     * Reports a log position from the reply to the start of a transaction once the next reply confirms that it was not a
     * repeat: after a repeat, the true reply comes next and is out of step.
     *
     * @param askedMillis time at which the command was sent, milliseconds of the monotonic clock
     * @param position the position
     */
    public void reportPrimaryOnceConfirmed(long askedMillis, LogPosition position) {
        unconfirmed = Option.some(new PrimarySample(askedMillis, position));
    }

    /** Reports that the endpoint refused a command because it is not the primary. */
    public void reportNotPrimary() {
        pool.callbacks().notPrimary(pool.endpoint().id());
    }

    /** Returns the connection to the pool; it becomes idle once all commands are answered. */
    public void release() {
        if (state == State.IN_USE) {
            state = State.RETURNING;
            completeReturn();
        }
    }

    /** Closes the connection, which rolls back its open transaction. */
    public void discard() {
        if (state != State.CLOSED) {
            link.close();
            markClosed();
        }
    }

    @Override
    public void opened(Option<LogPosition> position) {
        if (direct()) {
            pool.recordContact();
        }
        if (state == State.OPENING) {
            long tookMillis = pool.nowMillis() - stateSinceMillis;
            if (direct()) {
                pool.recordOpened(tookMillis);
            } else {
                pool.recordLeased(tookMillis);
            }
            state = State.IDLE;
            stateSinceMillis = pool.nowMillis();
            pool.dispatch();
        } else if (state != State.CLOSED) {
            repeated(awaited());
        }
    }

    @Override
    public void refused(ErrorCode code) {
        if (state == State.OPENING) {
            link.close();
            markClosed();
            pool.openRefused(code);
        }
    }

    @Override
    public void replied(Reply reply) {
        pool.recordContact();
        if (state == State.CLOSED) {
            return;
        }
        String awaited = awaited();
        ReplyVerdict<PendingCommand> verdict = replies.received(ReplyFactUtils.receivedReply(reply));
        if (verdict instanceof ReplyVerdict.Deliver<PendingCommand> deliver) {
            deliver(deliver.handler(), reply);
        } else if (verdict instanceof ReplyVerdict.OutOfStep<PendingCommand> faulty) {
            pool.recordOutOfStep(awaited, faulty.cause(), ageMillis());
            outOfStep = true;
            discard();
        } else {
            repeated(awaited);
        }
    }

    @Override
    public void closed() {
        if (state == State.CLOSED) {
            return;
        }
        boolean opening = state == State.OPENING;
        markClosed();
        pool.connectionFailed(opening);
    }

    @Override
    public void leaseEnded(LeaseEndReason reason) {
        if (state == State.CLOSED) {
            return;
        }
        // The lender does not report whether its connection broke or was out of step.
        outOfStep = reason == LeaseEndReason.BROKEN;
        boolean opening = state == State.OPENING;
        markClosed();
        pool.leaseEnded(account, opening, reason);
    }

    /** Whether the connection goes to the endpoint directly and not through a lender. */
    boolean direct() {
        return !(link instanceof BorrowedLink);
    }

    boolean serves(Account other) {
        return account.name().equals(other.name());
    }

    boolean serves(ConnectionRequest request) {
        boolean pinned = request.pinnedTo().isDefined();
        return (direct() || !pinned) && (request.acceptsAnyAccount() || serves(request.account()));
    }

    void attach(EndpointLink opened) {
        link = opened;
    }

    Account account() {
        return account;
    }

    boolean idle() {
        return state == State.IDLE;
    }

    /** Whether the connection serves no further operation, for example because a reply on it was repeated. */
    boolean retiring() {
        return replies.retiring();
    }

    boolean opening() {
        return state == State.OPENING;
    }

    long stateSinceMillis() {
        return stateSinceMillis;
    }

    /** Returns the time at which the opening or the oldest unanswered command began; nothing if all is answered. */
    Option<Long> unansweredSinceMillis() {
        if (state == State.OPENING) {
            return Option.some(stateSinceMillis);
        }
        return replies.first().map(PendingCommand::sentMillis);
    }

    /**
     * Returns the time at which the oldest unanswered command was sent if its answer is overdue although the endpoint has
     * answered on other connections since; nothing otherwise.
     */
    Option<Long> silentSinceMillis(long lastContactMillis) {
        return replies.first()
                .filter(first -> lastContactMillis > first.sentMillis()
                        && pool.nowMillis() - first.sentMillis() > first.timeoutMillis())
                .map(PendingCommand::sentMillis);
    }

    void markInUse() {
        state = State.IN_USE;
        stateSinceMillis = pool.nowMillis();
    }

    /**
     * Whether a command has to wait for the replies that set up the session. Outside a transaction an endpoint runs a
     * statement although it has refused a value just before it.
     */
    private boolean awaitsSetup(ExpectedReply expected) {
        boolean setupUnconfirmed = replies.firstExpected().contains(ExpectedReply.SETUP);
        return !held.isEmpty() || (expected.signed() && setupUnconfirmed && replies.status() == TransactionStatus.IDLE);
    }

    private void transmit(PendingCommand pending) {
        replies.sent(pending.expected(), pending);
        link.send(List.of(pending.command()));
    }

    private void transmitHeld() {
        while (!held.isEmpty() && state != State.CLOSED) {
            transmit(held.removeFirst().sentAt(pool.nowMillis()));
        }
    }

    private void deliver(PendingCommand answered, Reply reply) {
        if (answered.measured()) {
            pool.recordServiceTime(pool.nowMillis() - answered.sentMillis());
        }
        Option<PrimarySample> confirmed = reply.succeeded() ? unconfirmed : Option.none();
        unconfirmed = Option.none();
        confirmed.forEach(sample -> reportPrimary(sample.askedMillis(), sample.position()));
        answered.handler().replied(reply);
        completeReturn();
    }

    /** Drops a repeated reply. More may follow, so the connection serves no further operation. */
    private void repeated(String awaited) {
        pool.recordReplyRepeated(awaited, !repeatLogged, ageMillis());
        repeatLogged = true;
        unconfirmed = Option.none();
        replies.retire();
        if (state == State.IDLE) {
            retire();
        }
    }

    private void retire() {
        pool.recordRetired();
        discard();
        pool.dispatch();
    }

    private String awaited() {
        return replies.firstExpected()
                .map(expected -> expected.name().toLowerCase(Locale.ROOT))
                .getOrElse("none");
    }

    private long ageMillis() {
        return pool.nowMillis() - createdMillis;
    }

    private void completeReturn() {
        if (state != State.RETURNING || !replies.isComplete() || !held.isEmpty()) {
            return;
        }
        if (replies.retiring()) {
            retire();
            return;
        }
        if (replies.status() != TransactionStatus.IDLE) {
            discard();
            return;
        }
        state = State.IDLE;
        stateSinceMillis = pool.nowMillis();
        pool.dispatch();
    }

    private void markClosed() {
        state = State.CLOSED;
        pool.remove(this);
        List<PendingCommand> unsent = List.copyOf(held);
        held.clear();
        replies.drain().forEach(one -> fail(one.handler()));
        unsent.forEach(one -> one.handler().notSent());
    }

    private void fail(ReplyHandler handler) {
        if (outOfStep) {
            handler.outOfStep();
        } else {
            handler.connectionLost();
        }
    }

    private enum State {
        OPENING,
        IDLE,
        IN_USE,
        RETURNING,
        CLOSED
    }

    /** A log position of the primary, from a reply that may be a repeat. */
    private record PrimarySample(long askedMillis, LogPosition position) {}

    private record PendingCommand(
            EndpointCommand command, ExpectedReply expected, ReplyHandler handler, long sentMillis) {

        /** Time for the answer to a command that does no work, milliseconds. */
        private static final long COMMAND_TIMEOUT_MILLIS = 1_000;

        /** Time for the answer to a statement, milliseconds: longer than the timeout of any route. */
        private static final long STATEMENT_TIMEOUT_MILLIS = 30_000;

        PendingCommand {
            Objects.requireNonNull(handler, "a command must have a handler");
        }

        long timeoutMillis() {
            return measured() ? STATEMENT_TIMEOUT_MILLIS : COMMAND_TIMEOUT_MILLIS;
        }

        /** Whether the endpoint does work for the command. */
        boolean measured() {
            return expected.signed();
        }

        PendingCommand sentAt(long millis) {
            return new PendingCommand(command, expected, handler, millis);
        }
    }

    /** Closes the connection if its session values or prepared statements could not be set, as its state is unknown. */
    private final class SetupReply implements ReplyHandler {

        @Override
        public void replied(Reply reply) {
            if (!reply.succeeded()) {
                discard();
            } else if (replies.isComplete()) {
                transmitHeld();
            }
        }

        @Override
        public void connectionLost() {
            // The handler of the statement that follows reports the lost connection.
        }
    }
}
