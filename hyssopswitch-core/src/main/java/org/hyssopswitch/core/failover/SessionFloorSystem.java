package org.hyssopswitch.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.EndpointTable;

/**
 * Finds the floor of sessions that arrive without a token: a position of the primary that a majority confirms after
 * the session arrived, hence at or beyond every write that was acknowledged to the session before.
 *
 * <p>Requests of one database are batched: while one is under way, later sessions wait for the next.
 */
public final class SessionFloorSystem implements DecisionSystem {

    private static final long REQUEST_TIMEOUT_MILLIS = 800;
    private static final long RETRY_MILLIS = 50;

    private final VmAddress self;
    private final HomeResolver homes;
    private final EndpointTable endpoints;
    private final FloorServer server;
    private final LongSupplier numbers;
    private final Map<DatabaseId, Batch> batches = new HashMap<>();

    /**
     * Creates the system.
     *
     * @param self this VM
     * @param homes finds the homes of endpoints
     * @param endpoints the known endpoints
     * @param router makes control calls
     * @param confirmer confirms positions
     * @param numbers numbers requests uniquely within this VM
     */
    public SessionFloorSystem(
            VmAddress self,
            HomeResolver homes,
            EndpointTable endpoints,
            ControlRouter router,
            MajorityCommitConfirmer confirmer,
            LongSupplier numbers) {
        this.self = self;
        this.homes = homes;
        this.endpoints = endpoints;
        this.server = new FloorServer(homes, endpoints, router, confirmer, REQUEST_TIMEOUT_MILLIS);
        this.numbers = numbers;
    }

    /**
     * Requests the floor of a session; the answer is a {@code ResolveFloor} action.
     *
     * @param ticket number that the caller chose
     * @param database the database
     * @param deadlineMillis time of the monotonic clock at which the request is given up
     * @param nowMillis milliseconds of the monotonic clock
     * @param out takes the actions to perform
     */
    public void request(long ticket, DatabaseId database, long deadlineMillis, long nowMillis, Outbox out) {
        endpoints.recordUse(database, nowMillis);
        Batch batch = batches.computeIfAbsent(database, d -> new Batch());
        batch.waiting.put(ticket, deadlineMillis);
        send(database, batch, nowMillis, out);
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        for (Map.Entry<DatabaseId, Batch> entry : List.copyOf(batches.entrySet())) {
            Batch batch = entry.getValue();
            if (batch.request != 0 && nowMillis >= batch.timeoutMillis) {
                finish(entry.getKey(), batch, Optional.empty(), nowMillis, out);
            }
            batch.expire(nowMillis, out);
            send(entry.getKey(), batch, nowMillis, out);
        }
        batches.values().removeIf(b -> b.request == 0 && b.waiting.isEmpty());
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (!(event instanceof Event.MessageReceived received)) {
            return;
        }
        if (received.message() instanceof FloorRequest request) {
            VmAddress from = received.from();
            FloorServer.Reply reply = (floor, now, outbox) -> outbox.add(new Action.SendMessage(
                    from, new FloorReply(request.id(), floor.map(List::of).orElse(List.of()))));
            server.serve(request.primary(), reply, nowMillis, out);
        } else if (received.message() instanceof FloorReply reply) {
            onReply(reply.id(), reply.floor().stream().findFirst(), nowMillis, out);
        }
    }

    private void send(DatabaseId database, Batch batch, long nowMillis, Outbox out) {
        if (batch.request != 0 || batch.waiting.isEmpty() || nowMillis < batch.retryMillis) {
            return;
        }
        batch.retryMillis = nowMillis + RETRY_MILLIS;
        Optional<EndpointId> primary = endpoints
                .recordUse(database, nowMillis)
                .flatMap(endpoints::primary)
                .map(row -> row.status().endpoint());
        Optional<VmAddress> home = primary.flatMap(endpoints::declaration)
                .flatMap(e -> homes.homes(e).stream().findFirst());
        if (home.isPresent()) {
            batch.begin(numbers.getAsLong(), nowMillis + REQUEST_TIMEOUT_MILLIS);
            dispatch(home.get(), new FloorRequest(batch.request, primary.get()), nowMillis, out);
        }
    }

    private void dispatch(VmAddress home, FloorRequest request, long nowMillis, Outbox out) {
        if (home.equals(self)) {
            FloorServer.Reply reply = (floor, now, outbox) -> onReply(request.id(), floor, now, outbox);
            server.serve(request.primary(), reply, nowMillis, out);
        } else {
            out.add(new Action.SendMessage(home, request));
        }
    }

    private void onReply(long id, Optional<LogPosition> floor, long nowMillis, Outbox out) {
        List.copyOf(batches.entrySet()).stream()
                .filter(e -> e.getValue().request == id)
                .forEach(e -> finish(e.getKey(), e.getValue(), floor, nowMillis, out));
    }

    private void finish(DatabaseId database, Batch batch, Optional<LogPosition> floor, long nowMillis, Outbox out) {
        batch.request = 0;
        if (floor.isPresent()) {
            batch.sent.keySet().forEach(ticket -> out.add(new Action.ResolveFloor(ticket, floor)));
        } else {
            batch.waiting.putAll(batch.sent);
            batch.retryMillis = nowMillis + RETRY_MILLIS;
        }
        batch.sent.clear();
        send(database, batch, nowMillis, out);
    }

    private static final class Batch {
        private final Map<Long, Long> waiting = new LinkedHashMap<>();
        private final Map<Long, Long> sent = new LinkedHashMap<>();
        private long request;
        private long timeoutMillis;
        private long retryMillis = Long.MIN_VALUE;

        private void begin(long number, long timeout) {
            request = number;
            timeoutMillis = timeout;
            retryMillis = Long.MIN_VALUE;
            sent.putAll(waiting);
            waiting.clear();
        }

        private void expire(long nowMillis, Outbox out) {
            for (Map<Long, Long> tickets : List.of(waiting, sent)) {
                new ArrayList<>(tickets.entrySet())
                        .stream().filter(e -> nowMillis >= e.getValue()).forEach(e -> {
                            tickets.remove(e.getKey());
                            out.add(new Action.ResolveFloor(e.getKey(), Optional.empty()));
                        });
            }
        }
    }
}
