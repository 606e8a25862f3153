package org.hyssopswitch.core.failover;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.session.EndpointTable;

/**
 * Makes control calls to endpoints through their homes, and serves those of other VMs at the endpoints of this VM.
 *
 * <p>An answer is matched to its call by number and sender; late, repeated and crossed answers are dropped.
 */
public final class ControlRouter implements DecisionSystem {

    private static final int MAX_SERVED_CALLS = 4_096;
    private static final long ANSWER_MARGIN_MILLIS = 100;

    private final VmAddress self;
    private final HomeResolver homes;
    private final EndpointTable endpoints;
    private final LongSupplier numbers;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private final Map<Long, Served> served = new LinkedHashMap<>();

    /**
     * Creates a router.
     *
     * @param self this VM
     * @param homes finds the homes of endpoints
     * @param endpoints the declared endpoints
     * @param numbers numbers calls uniquely within this VM
     */
    public ControlRouter(VmAddress self, HomeResolver homes, EndpointTable endpoints, LongSupplier numbers) {
        this.self = self;
        this.homes = homes;
        this.endpoints = endpoints;
        this.numbers = numbers;
    }

    /** Makes a call through a home of the endpoint; later attempts go through the standby and back. */
    void call(
            EndpointDeclaration endpoint,
            ControlRequest request,
            long timeoutMillis,
            int attempt,
            ControlCallback callback,
            long nowMillis,
            Outbox out) {
        List<VmAddress> ranked = homes.homes(endpoint);
        if (ranked.isEmpty()) {
            callback.ended(ControlOutcome.FAILED, nowMillis, out);
            return;
        }
        VmAddress home = ranked.get(attempt % ranked.size());
        long number = numbers.getAsLong();
        long deadline = nowMillis + timeoutMillis + ANSWER_MARGIN_MILLIS;
        pending.put(number, new Pending(home, deadline, callback));
        if (home.equals(self)) {
            out.add(new Action.CallEndpoint(number, endpoint.id(), request, timeoutMillis));
        } else {
            ControlCall message = ControlCall.of(number, endpoint.id(), request, timeoutMillis);
            out.add(new Action.SendMessage(home, message));
        }
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        List.copyOf(pending.entrySet()).stream()
                .filter(e -> nowMillis >= e.getValue().deadlineMillis())
                .forEach(e -> end(e.getKey(), ControlOutcome.FAILED, nowMillis, out));
        served.values().removeIf(s -> nowMillis >= s.deadlineMillis());
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (event instanceof Event.EndpointCallCompleted answered) {
            onEndpoint(answered, nowMillis, out);
        } else if (event instanceof Event.LinkFailed failed) {
            List.copyOf(pending.entrySet()).stream()
                    .filter(e -> e.getValue().home().equals(failed.to()))
                    .forEach(e -> end(e.getKey(), ControlOutcome.FAILED, nowMillis, out));
        } else if (event instanceof Event.MessageReceived received) {
            onMessage(received, nowMillis, out);
        }
    }

    private void onMessage(Event.MessageReceived received, long nowMillis, Outbox out) {
        if (received.message() instanceof ControlCall call) {
            serve(received.from(), call, nowMillis, out);
        } else if (received.message() instanceof ControlAnswer answer) {
            Pending call = pending.get(answer.id());
            if (call != null && call.home().equals(received.from())) {
                end(answer.id(), ControlOutcome.of(answer), nowMillis, out);
            }
        }
    }

    private void serve(VmAddress from, ControlCall call, long nowMillis, Outbox out) {
        if (!isHome(call.endpoint()) || served.size() >= MAX_SERVED_CALLS) {
            out.add(new Action.SendMessage(from, ControlOutcome.FAILED.toAnswer(call.id())));
            return;
        }
        long number = numbers.getAsLong();
        long deadline = nowMillis + call.timeoutMillis() + ANSWER_MARGIN_MILLIS;
        served.put(number, new Served(from, call.id(), deadline));
        out.add(new Action.CallEndpoint(number, call.endpoint(), call.request(), call.timeoutMillis()));
    }

    private void onEndpoint(Event.EndpointCallCompleted answered, long nowMillis, Outbox out) {
        ControlOutcome outcome = ControlOutcome.of(answered.result().map(r -> r));
        // awaits tell the position of a replica far more often than polls do
        outcome.status().ifPresent(status -> endpoints.observeApplied(status.endpoint(), status.applied()));
        Served origin = served.remove(answered.call());
        if (origin != null) {
            out.add(new Action.SendMessage(origin.from(), outcome.toAnswer(origin.id())));
        }
        end(answered.call(), outcome, nowMillis, out);
    }

    private void end(long number, ControlOutcome outcome, long nowMillis, Outbox out) {
        Optional.ofNullable(pending.remove(number)).ifPresent(p -> p.callback().ended(outcome, nowMillis, out));
    }

    private boolean isHome(EndpointId endpoint) {
        return endpoints
                .declaration(endpoint)
                .filter(e -> homes.homes(e).contains(self))
                .isPresent();
    }

    private record Pending(VmAddress home, long deadlineMillis, ControlCallback callback) {}

    private record Served(VmAddress from, long id, long deadlineMillis) {}
}
