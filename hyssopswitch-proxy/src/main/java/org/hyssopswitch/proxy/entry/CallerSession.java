package org.hyssopswitch.proxy.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.SessionToken;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;

/** A caller's session after its login: runs its cycles one after the other and keeps what must outlive them. */
final class CallerSession {

    private static final int MAX_WAITING_BYTES = 256 * 1024;

    private final EntryContext context;
    private final FrameChannel channel;
    private final SessionIdentity identity;
    private final DatabaseId database;
    private final Option<String> defaultRoute;
    private final long arrivedMillis;
    private final PreparedStatements statements = new PreparedStatements();
    private final CycleCollector collector = new CycleCollector();
    private final Queue<CyclePart> waiting = new ArrayDeque<>();
    private Option<LogPosition> floor;
    private Option<CycleDriver> current = Option.none();
    private Option<EntryStream> pinned = Option.none();
    private RouteDeclaration pinnedRoute;
    private boolean pinnedPrimary;
    private TransactionState transaction = TransactionState.IDLE;
    private int waitingBytes;
    private boolean skipping;
    private boolean draining;
    private boolean transactionsEnd;
    private boolean ended;

    CallerSession(
            EntryContext context,
            FrameChannel channel,
            SessionIdentity identity,
            DatabaseId database,
            Option<String> defaultRoute,
            Option<LogPosition> floor) {
        this.context = context;
        this.channel = channel;
        this.identity = identity;
        this.database = database;
        this.defaultRoute = defaultRoute;
        this.floor = floor;
        this.arrivedMillis = context.nowMillis();
        this.pinnedRoute = RouteDeclaration.undeclared(database);
    }

    SessionIdentity identity() {
        return identity;
    }

    DatabaseId database() {
        return database;
    }

    PreparedStatements statements() {
        return statements;
    }

    /** The position that reads must cover; nothing until it is known. */
    Option<LogPosition> floor() {
        if (floor.isEmpty()) {
            floor = context.confirmed().since(database, arrivedMillis);
        }
        return floor;
    }

    /** Takes the floor that was found for a session without a token. */
    void floorFound(LogPosition found) {
        if (floor.isEmpty()) {
            floor = Option.some(found);
        }
    }

    /** The stream of the open transaction. */
    Option<EntryStream> pinned() {
        return pinned;
    }

    RouteDeclaration pinnedRoute() {
        return pinnedRoute;
    }

    boolean pinnedPrimary() {
        return pinnedPrimary;
    }

    boolean idle() {
        return current.isEmpty() && pinned.isEmpty() && waiting.isEmpty();
    }

    /** Takes frames from the caller. */
    void take(List<Frame> frames) {
        try {
            frames.forEach(this::take);
        } catch (BufferUnderflowException e) {
            endFatal(new Refusal.ProtocolViolation("a frame body ends too early"));
        }
    }

    /** Ends the session because its connection is gone; an open transaction is rolled back. */
    void disconnected() {
        if (ended) {
            return;
        }
        ended = true;
        current.forEach(CycleDriver::abort);
        pinned.forEach(EntryStream::close);
    }

    /** Cancels what runs now. */
    void cancel() {
        current.forEach(CycleDriver::cancel);
    }

    /** Ends the session at its next transaction boundary. */
    void drain() {
        draining = true;
        endIfDrained();
    }

    /** Ends the session at its next statement boundary; an open transaction is rolled back. */
    void endTransaction() {
        transactionsEnd = true;
        endIfDrained();
    }

    /** Ends the session if its key is not in force any more. */
    void recheck() {
        if (current.isEmpty() && !ended) {
            identity.check(context.configuration(), database).forEach(this::endFatal);
        }
    }

    /** Reports a failure that ends the session. */
    void endFatal(Refusal refusal) {
        if (ended) {
            return;
        }
        context.metrics().refused(identity.account(), refusal);
        disconnected();
        channel.sendAndClose(ErrorFrames.fatal(refusal));
    }

    /** Finds the route of a cycle; callers without a key get open routes only. */
    Either<Refusal, RouteDeclaration> route(List<Frame> frames) {
        return CycleRoute.resolve(frames, statements, defaultRoute, context.configuration(), database)
                .filterOrElse(r -> identity.keyed() || r.open(), r -> new Refusal.AuthenticationFailed());
    }

    /** Reserves room for the statements that a cycle prepares. */
    Option<Refusal> reserve(List<Frame> frames) {
        return statements.reserve(frames)
                ? Option.none()
                : Option.some(new Refusal.FeatureUnsupported("preparing that many statements"));
    }

    void send(byte[] bytes, Runnable written) {
        channel.send(bytes, written);
    }

    /** Passes the end of an answer to the caller. */
    void complete(byte[] last, AnswerEnd end, EntryStream stream, RouteDeclaration route, boolean primary) {
        transaction = end.transaction();
        pinned = transaction == TransactionState.IDLE ? Option.none() : Option.some(stream);
        pinned.forEach(s -> s.listen(new IdleTransaction()));
        pinnedRoute = route;
        pinnedPrimary = primary;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(last);
        if (end.confirmed().isPresent() && (end.confirmed().write() || floor().isEmpty())) {
            LogPosition position = end.confirmed().position();
            floor = Option.some(floor().map(f -> f.max(position)).getOrElse(position));
            String token = new SessionToken(database, floor.get()).format();
            out.writeBytes(
                    BackendFrames.parameterStatus("hyssop.session", token).encode());
        }
        out.writeBytes(BackendFrames.readyForQuery(transaction.code()).encode());
        channel.send(out.toByteArray());
        next();
    }

    /** Reports a failure that ends a cycle. */
    void refuse(Refusal refusal, boolean open, boolean inTransaction) {
        if (!inTransaction) {
            transaction = TransactionState.IDLE;
        }
        if (open) {
            skipping = true;
            channel.send(ErrorFrames.error(refusal));
        } else {
            channel.send(ErrorFrames.errorAndReady(refusal, transaction));
        }
        next();
    }

    private void take(Frame frame) {
        if (ended) {
            return;
        }
        if (frame.is('X')) {
            disconnected();
            channel.close();
            return;
        }
        collector.add(frame).peek(part -> part.forEach(this::arrived)).peekLeft(this::endFatal);
    }

    private void arrived(CyclePart part) {
        if (skipping) {
            skip(part);
        } else if (current.exists(CycleDriver::open) && waiting.isEmpty()) {
            current.get().more(part);
        } else {
            waiting.add(part);
            waitingBytes += part.bytes();
            if (waitingBytes > MAX_WAITING_BYTES) {
                channel.pause();
            }
            runNext();
        }
    }

    /** Drops what follows a failure until the cycle ends. */
    private void skip(CyclePart part) {
        if (!part.open()) {
            skipping = false;
            channel.send(BackendFrames.readyForQuery(transaction.code()).encode());
        }
    }

    private void next() {
        current = Option.none();
        statements.releaseReservations();
        // A pass through the loop keeps a run of short cycles from growing the stack.
        context.loop().execute(() -> {
            runNext();
            endIfDrained();
        });
    }

    private void runNext() {
        if (current.isDefined() || waiting.isEmpty() || ended) {
            return;
        }
        CyclePart part = waiting.remove();
        waitingBytes -= part.bytes();
        if (waitingBytes <= MAX_WAITING_BYTES) {
            channel.resume();
        }
        if (skipping) {
            skip(part);
            next();
            return;
        }
        Option<Refusal> denied = identity.check(context.configuration(), database);
        if (denied.isDefined()) {
            endFatal(denied.get());
        } else if (pinned.isEmpty() && LocalSettings.matches(part)) {
            confirmSetting();
        } else {
            CycleDriver driver = new CycleDriver(context, this, part);
            current = Option.some(driver);
            driver.start();
        }
    }

    private void confirmSetting() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(BackendFrames.commandComplete("SET").encode());
        out.writeBytes(BackendFrames.readyForQuery(TransactionState.IDLE.code()).encode());
        channel.send(out.toByteArray());
        next();
    }

    private void endIfDrained() {
        boolean betweenStatements = current.isEmpty() && waiting.isEmpty();
        if (draining && (idle() || (transactionsEnd && betweenStatements))) {
            endFatal(new Refusal.ShuttingDown());
        }
    }

    /** Watches the stream of a transaction between its cycles. */
    private final class IdleTransaction implements StreamListener {

        @Override
        public void answerData(byte[] frames) {
            homeLost();
        }

        @Override
        public void answerEnded(AnswerEnd end) {
            homeLost();
        }

        @Override
        public void homeLost() {
            endFatal(new Refusal.OutcomeUnknown(database, "the home of the endpoint is gone; the transaction is lost"));
        }
    }
}
