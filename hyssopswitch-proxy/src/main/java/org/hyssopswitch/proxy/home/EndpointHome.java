package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.BiConsumer;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.position.ObservedStatus;
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.Confirmation;
import org.hyssopswitch.proxy.forward.ContinueCycle;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.proxy.home.HomeStream.Phase;

/** Runs the streams of one endpoint within the limits on its concurrent statements and connections. */
final class EndpointHome implements CycleRun.Listener {

    private static final long CONFIRM_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_AWAITING_CONNECTION = 4;
    private static final long IDLE_TRANSACTION_TIMEOUT_MILLIS = 60_000;

    private final HomeContext context;
    private final DatabaseId database;
    private final EndpointDeclaration endpoint;
    private final StatementQueue<HomeStream> queue;
    private final ConfirmationCallbacks confirmations;
    private final BiConsumer<EndpointId, LogPosition> positionListener;
    private final Map<StreamKey, HomeStream> streams = new HashMap<>();
    private final Map<StreamKey, CycleRun> runs = new HashMap<>();
    private final Queue<HomeStream> pinned = new ArrayDeque<>();
    private final List<HomeStream> awaitingConnection = new ArrayList<>();
    private final ConnectionPool pool;
    private final ObservedStatus status = new ObservedStatus();
    private int slots = 1;
    private int running;

    EndpointHome(
            HomeContext context,
            DatabaseId database,
            EndpointDeclaration endpoint,
            ConfirmationCallbacks confirmations,
            BiConsumer<EndpointId, LogPosition> positionListener) {
        this.positionListener = positionListener;
        this.context = context;
        this.database = database;
        this.endpoint = endpoint;
        this.confirmations = confirmations;
        this.queue = context.queues().get();
        this.pool = new ConnectionPool(
                context.loop(),
                context.random(),
                this::createConnection,
                context.users().reader(),
                this::startPending);
    }

    /**
     * Sets the limits.
     *
     * @param newSlots maximum number of statements that run at the same time
     * @param connections maximum number of statement connections
     */
    void resize(int newSlots, int connections) {
        slots = newSlots;
        pool.resize(connections, Math.min(newSlots, connections));
    }

    /** Returns the number of log positions reported so far, to be presented with the reply to a call sent now. */
    long positionReports() {
        return status.reports();
    }

    /**
     * Updates the status that the endpoint last reported.
     *
     * @param newStatus the status in the reply to a call
     * @param reportsBefore the number of reported log positions when the call was sent
     */
    void updateStatus(EndpointStatus newStatus, long reportsBefore) {
        status.replied(newStatus, reportsBefore);
    }

    EndpointDeclaration endpoint() {
        return endpoint;
    }

    HomeStatus homeStatus() {
        return new HomeStatus(endpoint.id(), status.current(), streams.size(), queue.size(), pool.size());
    }

    int streamCount() {
        return streams.size();
    }

    void execute(StreamKey key, ExecuteCycle cycle) {
        long deadline = context.loop().nowMillis() + cycle.routing().remainingMillis();
        if (cycle.sequence() == 1 && !streams.containsKey(key)) {
            enqueue(new HomeStream(key, context.replySender(), cycle, deadline));
        } else {
            queueNextCycle(key, cycle, deadline);
        }
        startPending();
    }

    void continueCycle(StreamKey key, ContinueCycle part) {
        CycleRun run = runs.get(key);
        if (run != null && run.stream().cycle().sequence() == part.sequence()) {
            run.continueWith(part.frames(), part.open());
            return;
        }
        HomeStream stream = streams.get(key);
        if (stream != null && (stream.phase() == Phase.QUEUED || stream.phase() == Phase.RESETTING)) {
            // The first part has not been sent yet, so later parts are appended to it.
            stream.append(part);
        }
    }

    void grantCredit(StreamKey key, int bytes) {
        Option.of(streams.get(key)).forEach(s -> s.grantCredit(bytes));
    }

    void cancel(StreamKey key, int sequence) {
        HomeStream stream = streams.get(key);
        if (stream == null || stream.cycle().sequence() != sequence) {
            return;
        }
        if (stream.phase() == Phase.RUNNING) {
            stream.connection().forEach(EndpointConnection::cancel);
        } else if (stream.phase() == Phase.QUEUED && stream.connection().isEmpty()) {
            refuse(stream, AnswerState.CANCELLED, 0, "cancelled before it ran");
        }
    }

    /** Closes a stream and its connection, which rolls back an open transaction. */
    void close(StreamKey key) {
        HomeStream stream = streams.remove(key);
        if (stream == null) {
            return;
        }
        stream.setPhase(Phase.CLOSED);
        if (runs.remove(key) != null) {
            running--;
        }
        stream.connection().forEach(pool::discard);
        startPending();
    }

    /** Closes the streams of an entry VM whose link failed, because answers to it may have been lost. */
    void closeStreamsOf(VmAddress entry) {
        List<HomeStream> lost = streams.values().stream()
                .filter(s -> s.key().entry().equals(entry))
                .toList();
        for (HomeStream stream : lost) {
            boolean pending = stream.phase() == Phase.QUEUED || stream.phase() == Phase.RESETTING;
            if (stream.phase() != Phase.IDLE) {
                stream.fail(pending ? AnswerState.NOT_RUN : AnswerState.UNKNOWN, 0, "the link to the entry VM broke");
            }
            close(stream.key());
        }
    }

    void tick() {
        queue.removeDropped(context.loop().nowMillis())
                .forEach(s -> refuse(s, AnswerState.OVERLOADED, 1_000, "queue deadline"));
        closeIdleTransactions();
        pool.tick();
        startPending();
    }

    /**
     * Fails the pending and running streams that need the primary, because the endpoint has been replaced as primary.
     * The answer to a running cycle may never arrive, and could not be acknowledged; a cycle that has not been sent can
     * run at the new primary.
     */
    void endPrimaryStreams() {
        streams.values().stream()
                .filter(s -> !s.routing().reader() || s.routing().latest())
                .toList()
                .forEach(this::endPrimaryStream);
        startPending();
    }

    private void endPrimaryStream(HomeStream stream) {
        boolean pending = stream.phase() == Phase.QUEUED || stream.phase() == Phase.RESETTING;
        if (pending || stream.phase() == Phase.RUNNING) {
            boolean notRun = pending && stream.cycle().sequence() == 1;
            stream.fail(notRun ? AnswerState.NOT_RUN : AnswerState.UNKNOWN, 0, "the primary has been replaced");
            close(stream.key());
        }
    }

    /** Whether no stream is left, so that a home that is no longer assigned to this VM can be closed. */
    boolean isDrained() {
        return streams.isEmpty();
    }

    void shutdown() {
        new ArrayList<>(streams.values()).forEach(s -> {
            if (s.phase() != Phase.IDLE) {
                AnswerState state = s.phase() == Phase.QUEUED ? AnswerState.NOT_RUN : AnswerState.UNKNOWN;
                s.fail(state, 0, "the home was closed");
            }
            close(s.key());
        });
        pool.close();
    }

    @Override
    public void cycleEnded(CycleRun run, TransactionState transaction) {
        HomeStream stream = run.stream();
        removeRun(run);
        run.connection().applied().forEach(this::updateApplied);
        if (stream.phase() == Phase.CLOSED) {
            return;
        }
        Option<LogPosition> position = run.commitPosition()
                .orElse(() -> stream.routing().latest() && transaction == TransactionState.IDLE
                        ? run.connection().applied()
                        : Option.none());
        if (transaction == TransactionState.IDLE) {
            release(stream, run.connection());
        }
        if (transaction == TransactionState.IDLE && stream.cycle().sequence() == 1 && run.isRefusedByReplica()) {
            refuse(stream, AnswerState.NOT_RUN, 0, "the endpoint is not the primary");
        } else if (position.isEmpty()) {
            answer(stream, transaction, Confirmation.NONE);
        } else {
            confirm(
                    stream,
                    transaction,
                    new Confirmation(position.get(), run.commitPosition().isDefined()));
        }
        startPending();
    }

    @Override
    public void cycleLost(CycleRun run, String reason) {
        removeRun(run);
        pool.discard(run.connection());
        if (run.stream().phase() != Phase.CLOSED) {
            refuse(run.stream(), AnswerState.UNKNOWN, 0, reason);
        }
        startPending();
    }

    /**
     * Closes streams whose transaction exceeded the idle timeout: an unreachable entry VM cannot report that its caller
     * has disconnected.
     */
    private void closeIdleTransactions() {
        long before = context.loop().nowMillis() - IDLE_TRANSACTION_TIMEOUT_MILLIS;
        List<StreamKey> abandoned = streams.values().stream()
                .filter(s -> s.isIdleSinceBefore(before))
                .map(HomeStream::key)
                .toList();
        abandoned.forEach(this::close);
    }

    private EndpointConnection createConnection(EndpointUser user, EndpointConnection.Owner owner) {
        ConnectionSpec spec = new ConnectionSpec(database, endpoint, user, context.application());
        return new EndpointConnection(context.network(), spec, owner);
    }

    private void enqueue(HomeStream stream) {
        streams.put(stream.key(), stream);
        queue.offer(
                        stream.routing().account(),
                        stream,
                        stream.deadlineMillis(),
                        context.loop().nowMillis())
                .forEach(r -> refuse(stream, AnswerState.OVERLOADED, r.retryAfterMillis(), r.describe()));
    }

    private void queueNextCycle(StreamKey key, ExecuteCycle cycle, long deadline) {
        HomeStream stream = streams.get(key);
        if (stream == null || stream.phase() != Phase.IDLE || stream.cycle().sequence() + 1 != cycle.sequence()) {
            close(key);
            new HomeStream(key, context.replySender(), cycle, deadline)
                    .fail(AnswerState.UNKNOWN, 0, "the transaction is not open at the home any more");
            return;
        }
        stream.queueNextCycle(cycle, deadline);
        pinned.add(stream);
    }

    private void startPending() {
        while (running < slots && !pinned.isEmpty()) {
            HomeStream stream = pinned.remove();
            if (stream.phase() == Phase.QUEUED) {
                run(stream, stream.connection().get());
            }
        }
        startAwaitingConnection();
        while (running < slots && awaitingConnection.size() < MAX_AWAITING_CONNECTION) {
            Option<HomeStream> stream =
                    Option.ofOptional(queue.poll(context.loop().nowMillis()));
            if (stream.isEmpty()) {
                return;
            }
            if (stream.get().phase() == Phase.QUEUED && !start(stream.get())) {
                awaitingConnection.add(stream.get());
            }
        }
    }

    private void startAwaitingConnection() {
        Iterator<HomeStream> waiting = awaitingConnection.iterator();
        List<HomeStream> failed = new ArrayList<>();
        while (running < slots && waiting.hasNext()) {
            HomeStream stream = waiting.next();
            if (stream.phase() != Phase.QUEUED) {
                waiting.remove();
            } else if (isUnreachable()
                    || stream.deadlineMillis() <= context.loop().nowMillis()) {
                waiting.remove();
                failed.add(stream);
            } else if (start(stream)) {
                waiting.remove();
            }
        }
        failed.forEach(s -> refuse(s, AnswerState.NOT_RUN, 0, "no connection to the endpoint"));
    }

    private boolean isUnreachable() {
        return pool.size() == 0 && pool.failures() > 0;
    }

    /**
     * Starts a stream, or refuses it if the endpoint has not applied its floor. Returns false if no connection is free.
     */
    private boolean start(HomeStream stream) {
        if (!hasApplied(stream.routing().floor())) {
            refuse(stream, AnswerState.NOT_COVERED, 0, "the endpoint has not applied the session's floor");
            return true;
        }
        EndpointUser user = stream.routing().reader()
                ? context.users().reader()
                : context.users().writer();
        Option<EndpointConnection> connection =
                pool.acquire(user, stream.routing().account());
        if (connection.isEmpty()) {
            return false;
        }
        prepare(stream, connection.get());
        return true;
    }

    private boolean hasApplied(LogPosition floor) {
        return floor.equals(LogPosition.ZERO) || status.current().exists(s -> s.covers(floor));
    }

    /** Binds the connection to the stream, resets it if another account used it last, then runs the cycle. */
    private void prepare(HomeStream stream, EndpointConnection connection) {
        boolean usedByOther =
                connection.account().exists(a -> !a.equals(stream.routing().account()));
        stream.bind(connection);
        connection.setAccount(stream.routing().account());
        if (!usedByOther) {
            run(stream, connection);
            return;
        }
        running++;
        stream.setPhase(Phase.RESETTING);
        new ConnectionReset(connection, successful -> {
                    running--;
                    resetEnded(stream, connection, successful);
                })
                .discardAll();
    }

    private void resetEnded(HomeStream stream, EndpointConnection connection, boolean successful) {
        if (stream.phase() == Phase.CLOSED) {
            startPending();
            return;
        }
        if (successful) {
            connection.setAccount(stream.routing().account());
            run(stream, connection);
        } else {
            pool.discard(connection);
            refuse(stream, AnswerState.NOT_RUN, 0, "the endpoint connection could not be reset");
        }
        startPending();
    }

    private void run(HomeStream stream, EndpointConnection connection) {
        stream.setPhase(Phase.RUNNING);
        running++;
        CycleRun run = new CycleRun(stream, connection, this);
        runs.put(stream.key(), run);
        if (connection.isUsable()) {
            run.start();
        } else {
            run.connectionLost();
        }
    }

    private void removeRun(CycleRun run) {
        if (runs.remove(run.stream().key(), run)) {
            running--;
        }
    }

    private void updateApplied(LogPosition position) {
        positionListener.accept(endpoint.id(), position);
        status.reported(position);
    }

    private void confirm(HomeStream stream, TransactionState transaction, Confirmation confirmation) {
        stream.setPhase(Phase.CONFIRMING);
        long now = context.loop().nowMillis();
        long ticket = confirmations.add(confirmed -> confirmed(stream, transaction, confirmation, confirmed));
        context.confirmer()
                .confirm(
                        ticket,
                        endpoint.id(),
                        confirmation.position(),
                        now + CONFIRM_TIMEOUT_MILLIS,
                        now,
                        context.actions());
    }

    private void confirmed(
            HomeStream stream, TransactionState transaction, Confirmation confirmation, boolean confirmed) {
        if (stream.phase() != Phase.CONFIRMING) {
            return;
        }
        if (confirmed) {
            answer(stream, transaction, confirmation);
            return;
        }
        refuse(stream, AnswerState.UNKNOWN, 0, "no majority of the group confirmed the position");
    }

    private void answer(HomeStream stream, TransactionState transaction, Confirmation confirmation) {
        stream.complete(transaction, confirmation);
        if (transaction == TransactionState.IDLE) {
            stream.setPhase(Phase.CLOSED);
            streams.remove(stream.key());
        } else {
            stream.setPhase(Phase.IDLE);
            stream.setIdleSince(context.loop().nowMillis());
        }
    }

    private void refuse(HomeStream stream, AnswerState state, long retryAfterMillis, String reason) {
        stream.fail(state, retryAfterMillis, reason);
        stream.setPhase(Phase.CLOSED);
        streams.remove(stream.key());
        stream.connection().forEach(pool::discard);
        stream.unbind();
    }

    /**
     * Returns a connection to the pool after removing the session state of its stream; closes it if that fails or if a
     * cancel request was sent.
     */
    private void release(HomeStream stream, EndpointConnection connection) {
        stream.unbind();
        if (connection.isCancelRequested()) {
            pool.discard(connection);
        } else if (connection.hasStateChanged()) {
            new ConnectionReset(connection, successful -> releaseAfterReset(connection, successful)).discardAll();
        } else if (!connection.preparedStatements().isEmpty()) {
            new ConnectionReset(connection, successful -> releaseAfterReset(connection, successful)).closeStatements();
        } else {
            pool.release(connection);
        }
    }

    private void releaseAfterReset(EndpointConnection connection, boolean successful) {
        if (successful) {
            pool.release(connection);
        } else {
            pool.discard(connection);
            startPending();
        }
    }
}
