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
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.Confirmation;
import org.hyssopswitch.proxy.forward.ContinueCycle;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.proxy.home.HomeStream.Phase;

/** Runs the streams of one endpoint within its slots and connections. */
final class EndpointHome implements CycleRun.End {

    private static final long CONFIRM_MILLIS = 5_000;
    private static final int MAX_PARKED = 4;
    private static final long IDLE_TRANSACTION_MILLIS = 60_000;

    private final HomeContext context;
    private final DatabaseId database;
    private final EndpointDeclaration endpoint;
    private final StatementQueue<HomeStream> queue;
    private final Confirmations confirmations;
    private final BiConsumer<EndpointId, LogPosition> positions;
    private final Map<StreamKey, HomeStream> streams = new HashMap<>();
    private final Map<StreamKey, CycleRun> runs = new HashMap<>();
    private final Queue<HomeStream> pinned = new ArrayDeque<>();
    private final List<HomeStream> parked = new ArrayList<>();
    private final ConnectionPool pool;
    private Option<EndpointStatus> status = Option.none();
    private int slots = 1;
    private int running;

    EndpointHome(
            HomeContext context,
            DatabaseId database,
            EndpointDeclaration endpoint,
            Confirmations confirmations,
            BiConsumer<EndpointId, LogPosition> positions) {
        this.positions = positions;
        this.context = context;
        this.database = database;
        this.endpoint = endpoint;
        this.confirmations = confirmations;
        this.queue = context.queues().get();
        this.pool = new ConnectionPool(
                context.loop(),
                context.random(),
                this::connection,
                context.users().reader(),
                this::pump);
    }

    /**
     * Sets the bounds.
     *
     * @param newSlots statements that run at once
     * @param connections greatest number of statement connections
     */
    void resize(int newSlots, int connections) {
        slots = newSlots;
        pool.resize(connections, Math.min(newSlots, connections));
    }

    /** Takes a status that the endpoint reported. */
    void reported(EndpointStatus reported) {
        status = Option.some(reported);
    }

    EndpointDeclaration endpoint() {
        return endpoint;
    }

    HomeStatus describe() {
        return new HomeStatus(endpoint.id(), status, streams.size(), queue.size(), pool.size());
    }

    int streams() {
        return streams.size();
    }

    void execute(StreamKey key, ExecuteCycle cycle) {
        long deadline = context.loop().nowMillis() + cycle.facts().remainingMillis();
        if (cycle.sequence() == 1 && !streams.containsKey(key)) {
            open(new HomeStream(key, context.replies(), cycle, deadline));
        } else {
            next(key, cycle, deadline);
        }
        pump();
    }

    void more(StreamKey key, ContinueCycle part) {
        CycleRun run = runs.get(key);
        if (run != null && run.stream().cycle().sequence() == part.sequence()) {
            run.more(part.frames(), part.open());
            return;
        }
        HomeStream stream = streams.get(key);
        if (stream != null && (stream.phase() == Phase.QUEUED || stream.phase() == Phase.RESETTING)) {
            // The first part still waits here: what follows it is appended.
            stream.append(part);
        }
    }

    void granted(StreamKey key, int bytes) {
        Option.of(streams.get(key)).forEach(s -> s.granted(bytes));
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

    /** Gives up a stream; an open transaction is rolled back because its connection is closed. */
    void close(StreamKey key) {
        HomeStream stream = streams.remove(key);
        if (stream == null) {
            return;
        }
        stream.enter(Phase.CLOSED);
        if (runs.remove(key) != null) {
            running--;
        }
        stream.connection().forEach(pool::discard);
        pump();
    }

    /** Gives up the streams of an entry VM, which may have missed answers. */
    void entryLost(VmAddress entry) {
        List<HomeStream> lost = streams.values().stream()
                .filter(s -> s.key().entry().equals(entry))
                .toList();
        for (HomeStream stream : lost) {
            boolean waits = stream.phase() == Phase.QUEUED || stream.phase() == Phase.RESETTING;
            if (stream.phase() != Phase.IDLE) {
                stream.fail(waits ? AnswerState.NOT_RUN : AnswerState.UNKNOWN, 0, "the link to the entry VM broke");
            }
            close(stream.key());
        }
    }

    void tick() {
        queue.removeDropped(context.loop().nowMillis())
                .forEach(s -> refuse(s, AnswerState.OVERLOADED, 1_000, "queue deadline"));
        closeIdleTransactions();
        pool.tick();
        pump();
    }

    /**
     * Ends what needs the primary, because the endpoint is no longer it: an answer that is still missing may never come
     * and could not be acknowledged, and what has not been sent is better run by the new primary.
     */
    void replaced() {
        streams.values().stream()
                .filter(s -> !s.facts().reader() || s.facts().latest())
                .toList()
                .forEach(this::endReplaced);
        pump();
    }

    private void endReplaced(HomeStream stream) {
        boolean waits = stream.phase() == Phase.QUEUED || stream.phase() == Phase.RESETTING;
        if (waits || stream.phase() == Phase.RUNNING) {
            boolean notRun = waits && stream.cycle().sequence() == 1;
            stream.fail(notRun ? AnswerState.NOT_RUN : AnswerState.UNKNOWN, 0, "the primary has been replaced");
            close(stream.key());
        }
    }

    /** Tells whether nothing is left to do after the VM stopped being home. */
    boolean drained() {
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
        finished(run);
        run.connection().applied().forEach(this::applied);
        if (stream.phase() == Phase.CLOSED) {
            return;
        }
        Option<LogPosition> position = run.commit()
                .orElse(() -> stream.facts().latest() && transaction == TransactionState.IDLE
                        ? run.connection().applied()
                        : Option.none());
        if (transaction == TransactionState.IDLE) {
            release(stream, run.connection());
        }
        if (transaction == TransactionState.IDLE && stream.cycle().sequence() == 1 && run.refusedAsReplica()) {
            refuse(stream, AnswerState.NOT_RUN, 0, "the endpoint is not the primary");
        } else if (position.isEmpty()) {
            answer(stream, transaction, Confirmation.NONE);
        } else {
            confirm(
                    stream,
                    transaction,
                    new Confirmation(position.get(), run.commit().isDefined()));
        }
        pump();
    }

    @Override
    public void cycleLost(CycleRun run, String reason) {
        finished(run);
        pool.discard(run.connection());
        if (run.stream().phase() != Phase.CLOSED) {
            refuse(run.stream(), AnswerState.UNKNOWN, 0, reason);
        }
        pump();
    }

    /** An entry VM that was cut off cannot say that its caller is gone. */
    private void closeIdleTransactions() {
        long before = context.loop().nowMillis() - IDLE_TRANSACTION_MILLIS;
        List<StreamKey> abandoned = streams.values().stream()
                .filter(s -> s.idleBefore(before))
                .map(HomeStream::key)
                .toList();
        abandoned.forEach(this::close);
    }

    private EndpointConnection connection(EndpointUser user, EndpointConnection.Owner owner) {
        ConnectionSpec spec = new ConnectionSpec(database, endpoint, user, context.application());
        return new EndpointConnection(context.network(), spec, owner);
    }

    private void open(HomeStream stream) {
        streams.put(stream.key(), stream);
        queue.offer(
                        stream.facts().account(),
                        stream,
                        stream.deadlineMillis(),
                        context.loop().nowMillis())
                .forEach(r -> refuse(stream, AnswerState.OVERLOADED, r.retryAfterMillis(), r.describe()));
    }

    private void next(StreamKey key, ExecuteCycle cycle, long deadline) {
        HomeStream stream = streams.get(key);
        if (stream == null || stream.phase() != Phase.IDLE || stream.cycle().sequence() + 1 != cycle.sequence()) {
            close(key);
            new HomeStream(key, context.replies(), cycle, deadline)
                    .fail(AnswerState.UNKNOWN, 0, "the transaction is not open at the home any more");
            return;
        }
        stream.next(cycle, deadline);
        pinned.add(stream);
    }

    private void pump() {
        while (running < slots && !pinned.isEmpty()) {
            HomeStream stream = pinned.remove();
            if (stream.phase() == Phase.QUEUED) {
                run(stream, stream.connection().get());
            }
        }
        startParked();
        while (running < slots && parked.size() < MAX_PARKED) {
            Option<HomeStream> stream =
                    Option.ofOptional(queue.poll(context.loop().nowMillis()));
            if (stream.isEmpty()) {
                return;
            }
            if (stream.get().phase() == Phase.QUEUED && !start(stream.get())) {
                parked.add(stream.get());
            }
        }
    }

    private void startParked() {
        Iterator<HomeStream> waiting = parked.iterator();
        List<HomeStream> failed = new ArrayList<>();
        while (running < slots && waiting.hasNext()) {
            HomeStream stream = waiting.next();
            if (stream.phase() != Phase.QUEUED) {
                waiting.remove();
            } else if (unreachable()
                    || stream.deadlineMillis() <= context.loop().nowMillis()) {
                waiting.remove();
                failed.add(stream);
            } else if (start(stream)) {
                waiting.remove();
            }
        }
        failed.forEach(s -> refuse(s, AnswerState.NOT_RUN, 0, "no connection to the endpoint"));
    }

    private boolean unreachable() {
        return pool.size() == 0 && pool.failures() > 0;
    }

    /** Starts a stream if a connection is free. */
    private boolean start(HomeStream stream) {
        if (!covered(stream.facts().floor())) {
            refuse(stream, AnswerState.NOT_COVERED, 0, "the endpoint has not applied the session's floor");
            return true;
        }
        EndpointUser user = stream.facts().reader()
                ? context.users().reader()
                : context.users().writer();
        Option<EndpointConnection> connection =
                pool.acquire(user, stream.facts().account());
        if (connection.isEmpty()) {
            return false;
        }
        prepare(stream, connection.get());
        return true;
    }

    private boolean covered(LogPosition floor) {
        return floor.equals(LogPosition.ZERO) || status.exists(s -> s.covers(floor));
    }

    /** Resets a connection that another account has used, then runs the stream's cycle on it. */
    private void prepare(HomeStream stream, EndpointConnection connection) {
        boolean foreign =
                connection.account().exists(a -> !a.equals(stream.facts().account()));
        stream.bind(connection);
        connection.usedBy(stream.facts().account());
        if (!foreign) {
            run(stream, connection);
            return;
        }
        running++;
        stream.enter(Phase.RESETTING);
        new ConnectionReset(connection, done -> {
                    running--;
                    resetBefore(stream, connection, done);
                })
                .discardAll();
    }

    private void resetBefore(HomeStream stream, EndpointConnection connection, boolean done) {
        if (stream.phase() == Phase.CLOSED) {
            pump();
            return;
        }
        if (done) {
            connection.usedBy(stream.facts().account());
            run(stream, connection);
        } else {
            pool.discard(connection);
            refuse(stream, AnswerState.NOT_RUN, 0, "the endpoint connection could not be reset");
        }
        pump();
    }

    private void run(HomeStream stream, EndpointConnection connection) {
        stream.enter(Phase.RUNNING);
        running++;
        CycleRun run = new CycleRun(stream, connection, this);
        runs.put(stream.key(), run);
        if (connection.usable()) {
            run.start();
        } else {
            run.lost();
        }
    }

    private void finished(CycleRun run) {
        if (runs.remove(run.stream().key(), run)) {
            running--;
        }
    }

    /** Takes a position that came with an answer; a new term needs a whole status. */
    private void applied(LogPosition position) {
        positions.accept(endpoint.id(), position);
        status = status.map(s -> s.applied().term() == position.term() && position.compareTo(s.applied()) > 0
                ? new EndpointStatus(
                        s.endpoint(),
                        s.role(),
                        s.acceptedTerm(),
                        position,
                        s.termStart(),
                        s.contactAgeMillis(),
                        s.dataAgeMillis())
                : s);
    }

    private void confirm(HomeStream stream, TransactionState transaction, Confirmation confirmation) {
        stream.enter(Phase.CONFIRMING);
        long now = context.loop().nowMillis();
        long ticket = confirmations.open(confirmed -> confirmed(stream, transaction, confirmation, confirmed));
        context.confirmer()
                .confirm(ticket, endpoint.id(), confirmation.position(), now + CONFIRM_MILLIS, now, context.actions());
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
            stream.enter(Phase.CLOSED);
            streams.remove(stream.key());
        } else {
            stream.enter(Phase.IDLE);
            stream.idleSince(context.loop().nowMillis());
        }
    }

    private void refuse(HomeStream stream, AnswerState state, long retryAfterMillis, String reason) {
        stream.fail(state, retryAfterMillis, reason);
        stream.enter(Phase.CLOSED);
        streams.remove(stream.key());
        stream.connection().forEach(pool::discard);
        stream.unbind();
    }

    /** Returns a connection to the pool once nothing of the stream is left on it. */
    private void release(HomeStream stream, EndpointConnection connection) {
        stream.unbind();
        if (connection.wasCancelled()) {
            pool.discard(connection);
        } else if (connection.changedState()) {
            new ConnectionReset(connection, done -> released(connection, done)).discardAll();
        } else if (!connection.preparedStatements().isEmpty()) {
            new ConnectionReset(connection, done -> released(connection, done)).closeStatements();
        } else {
            pool.release(connection);
        }
    }

    private void released(EndpointConnection connection, boolean done) {
        if (done) {
            pool.release(connection);
        } else {
            pool.discard(connection);
            pump();
        }
    }
}
