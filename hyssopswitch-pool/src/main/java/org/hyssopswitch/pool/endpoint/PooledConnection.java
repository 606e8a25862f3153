package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.TransactionStatus;

/** A connection to an endpoint for one client account, lent to one session at a time. */
public final class PooledConnection implements EndpointLink.Listener {

    private final EndpointPool pool;
    private final Account account;
    private final Deque<PendingCommand> pending = new ArrayDeque<>();
    private final Map<String, String> values = new TreeMap<>();
    private final Set<PreparedShape> prepared = new HashSet<>();
    private EndpointLink link;
    private State state = State.OPENING;
    private TransactionStatus status = TransactionStatus.IDLE;
    private long stateSinceMillis;

    PooledConnection(EndpointPool pool, Account account, long nowMillis) {
        this.pool = pool;
        this.account = account;
        this.stateSinceMillis = nowMillis;
    }

    /** Identifier of the endpoint. */
    public String endpointId() {
        return pool.endpoint().id();
    }

    /**
     * Gives the connection the values of a session and prepares what the next statement executes.
     *
     * @param sessionValues the session's values
     * @param shape the prepared statement to execute next
     */
    public void applySession(Map<String, String> sessionValues, Option<PreparedShape> shape) {
        if (link instanceof BorrowedLink borrowed) {
            borrowed.applySession(sessionValues, shape);
            return;
        }
        List<EndpointCommand> commands = new ArrayList<>();
        if (!sessionValues.keySet().containsAll(values.keySet())) {
            commands.add(new EndpointCommand.Reset());
            values.clear();
            prepared.clear();
        }
        sessionValues.forEach((name, value) -> {
            if (!value.equals(values.put(name, value))) {
                commands.add(new EndpointCommand.SetValue(name, value));
            }
        });
        shape.filter(prepared::add).forEach(added -> commands.add(new EndpointCommand.Prepare(added)));
        commands.forEach(command -> send(command, new SetupReply()));
    }

    /**
     * Sends a command.
     *
     * @param command the command
     * @param handler takes its answer
     */
    public void send(EndpointCommand command, ReplyHandler handler) {
        if (state == State.CLOSED) {
            handler.connectionLost();
            return;
        }
        boolean measured = command instanceof EndpointCommand.Forward || command instanceof EndpointCommand.Execute;
        pending.addLast(new PendingCommand(handler, pool.nowMillis(), measured));
        link.send(List.of(command));
    }

    /** Forgets which statements are prepared, after the endpoint said that it does not know one. */
    public void clearPrepared() {
        prepared.clear();
    }

    /**
     * Reports a log position that only a primary can have given.
     *
     * @param askedMillis when the question was sent, milliseconds of the monotonic clock
     * @param position the position
     */
    public void reportPrimary(long askedMillis, LogPosition position) {
        pool.callbacks().primaryConfirmed(pool.endpoint().id(), askedMillis, position);
    }

    /** Reports that the endpoint refused what only a primary accepts. */
    public void reportNotPrimary() {
        pool.callbacks().notPrimary(pool.endpoint().id());
    }

    /** Returns the connection; it is lent again once all commands are answered. */
    public void release() {
        if (state == State.LENT) {
            state = State.RETURNING;
            completeReturn();
        }
    }

    /** Closes the connection, which rolls back what is open on it. */
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
        PendingCommand first = pending.pollFirst();
        if (first == null) {
            discard();
            return;
        }
        status = reply.status();
        if (first.measured()) {
            pool.recordServiceTime(pool.nowMillis() - first.sentMillis());
        }
        first.handler().replied(reply);
        completeReturn();
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
        boolean opening = state == State.OPENING;
        markClosed();
        pool.leaseEnded(account, opening, reason);
    }

    /** Whether it leads straight to the endpoint, not through another VM. */
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

    boolean opening() {
        return state == State.OPENING;
    }

    long stateSinceMillis() {
        return stateSinceMillis;
    }

    /** Time since when the oldest unanswered command or the opening waits; nothing when none does. */
    Option<Long> unansweredSinceMillis() {
        if (state == State.OPENING) {
            return Option.some(stateSinceMillis);
        }
        return Option.of(pending.peekFirst()).map(PendingCommand::sentMillis);
    }

    void markLent() {
        state = State.LENT;
        stateSinceMillis = pool.nowMillis();
    }

    private void completeReturn() {
        if (state != State.RETURNING || !pending.isEmpty()) {
            return;
        }
        if (status != TransactionStatus.IDLE) {
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
        List<PendingCommand> unanswered = List.copyOf(pending);
        pending.clear();
        unanswered.forEach(one -> one.handler().connectionLost());
    }

    private enum State {
        OPENING,
        IDLE,
        LENT,
        RETURNING,
        CLOSED
    }

    private record PendingCommand(ReplyHandler handler, long sentMillis, boolean measured) {

        PendingCommand {
            Objects.requireNonNull(handler, "a command must have a handler");
        }
    }

    /** A connection whose values or prepared statements are uncertain must not be used again. */
    private final class SetupReply implements ReplyHandler {

        @Override
        public void replied(Reply reply) {
            if (!reply.succeeded()) {
                discard();
            }
        }

        @Override
        public void connectionLost() {
            // The handler of the statement that follows reports the loss.
        }
    }
}
