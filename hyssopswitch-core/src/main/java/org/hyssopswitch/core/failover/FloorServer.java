package org.hyssopswitch.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.EndpointTable;

/**
 * Serves floor requests at the home of a primary: reads the primary's position and has it confirmed by a majority, once
 * for all waiting requests.
 */
final class FloorServer {

    private static final int MAX_WAITING = 4_096;

    private final HomeResolver homes;
    private final EndpointTable endpoints;
    private final ControlRouter router;
    private final MajorityCommitConfirmer confirmer;
    private final long timeoutMillis;
    private final Map<EndpointId, Queue> queues = new HashMap<>();

    FloorServer(
            HomeResolver homes,
            EndpointTable endpoints,
            ControlRouter router,
            MajorityCommitConfirmer confirmer,
            long timeoutMillis) {
        this.homes = homes;
        this.endpoints = endpoints;
        this.router = router;
        this.confirmer = confirmer;
        this.timeoutMillis = timeoutMillis;
    }

    void serve(EndpointId primary, FloorCallback callback, long nowMillis, Outbox out) {
        Optional<EndpointDeclaration> declared =
                endpoints.declaration(primary).filter(e -> !homes.homes(e).isEmpty());
        Queue queue = declared.map(e -> queues.computeIfAbsent(primary, p -> new Queue(e)))
                .orElse(null);
        if (queue == null || queue.waiting.size() >= MAX_WAITING) {
            callback.onFloor(Optional.empty(), nowMillis, out);
            return;
        }
        queue.waiting.add(callback);
        startNext(queue, nowMillis, out);
    }

    private void startNext(Queue queue, long nowMillis, Outbox out) {
        if (queue.inFlight || queue.waiting.isEmpty()) {
            return;
        }
        queue.inFlight = true;
        List<FloorCallback> batch = List.copyOf(queue.waiting);
        queue.waiting.clear();
        ControlCallback callback = (outcome, now, outbox) -> onStatus(queue, batch, outcome, now, outbox);
        router.call(queue.endpoint, new ControlRequest.Status(), timeoutMillis, 0, callback, nowMillis, out);
    }

    private void onStatus(Queue queue, List<FloorCallback> batch, ControlOutcome outcome, long nowMillis, Outbox out) {
        Optional<EndpointStatus> primary = outcome.status().filter(s -> s.role() == EndpointRole.PRIMARY);
        if (primary.isEmpty()) {
            finish(queue, batch, Optional.empty(), nowMillis, out);
            return;
        }
        LogPosition position = new LogPosition(
                primary.get().acceptedTerm(), primary.get().applied().offset());
        MajorityCommitConfirmer.ResolutionCallback callback = (confirmed, now, outbox) ->
                finish(queue, batch, confirmed ? Optional.of(position) : Optional.empty(), now, outbox);
        confirmer.confirm(queue.endpoint.id(), position, nowMillis + timeoutMillis, callback, nowMillis, out);
    }

    private void finish(
            Queue queue, List<FloorCallback> batch, Optional<LogPosition> floor, long nowMillis, Outbox out) {
        queue.inFlight = false;
        batch.forEach(c -> c.onFloor(floor, nowMillis, out));
        startNext(queue, nowMillis, out);
    }

    /** Receives the floor; empty if it could not be confirmed. */
    @FunctionalInterface
    interface FloorCallback {

        /** Called exactly once. */
        void onFloor(Optional<LogPosition> floor, long nowMillis, Outbox out);
    }

    private static final class Queue {
        private final EndpointDeclaration endpoint;
        private final List<FloorCallback> waiting = new ArrayList<>();
        private boolean inFlight;

        private Queue(EndpointDeclaration endpoint) {
            this.endpoint = endpoint;
        }
    }
}
