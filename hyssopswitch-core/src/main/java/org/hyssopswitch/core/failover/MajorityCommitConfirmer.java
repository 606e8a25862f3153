package org.hyssopswitch.core.failover;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.EndpointTable;

/**
 * Confirms log positions by awaiting them at the endpoints of the group, with at most one await in flight per endpoint.
 *
 * <p>An endpoint confirms a ticket only by an await that was sent after the ticket was requested and that the endpoint
 * accepted in the ticket's term. A majority of such confirmations, including the primary's, proves that no promotion to
 * a higher term had fenced a majority when the ticket was requested, and that every later promotion preserves the
 * position.
 */
public final class MajorityCommitConfirmer implements CommitConfirmer, DecisionSystem {

    /** The call to the primary is local, so that only the primary itself can be slow. */
    private static final long PRIMARY_TIMEOUT_MILLIS = 2_500;

    private static final long SIBLING_TIMEOUT_MILLIS = 1_000;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 30;
    private static final long MAX_RETRY_DELAY_MILLIS = 480;

    private final ControlRouter router;
    private final EndpointTable endpoints;
    private final Map<Key, PendingConfirmations> confirmationsByTerm = new LinkedHashMap<>();
    private final Map<Long, ResolutionCallback> resolutionCallbacks = new LinkedHashMap<>();
    private long lastInternalTicket;

    /**
     * Creates a confirmer.
     *
     * @param router makes the control calls
     * @param endpoints the declared endpoints
     */
    public MajorityCommitConfirmer(ControlRouter router, EndpointTable endpoints) {
        this.router = router;
        this.endpoints = endpoints;
    }

    @Override
    public void confirm(
            long ticket, EndpointId primary, LogPosition position, long deadlineMillis, long nowMillis, Outbox out) {
        var database = endpoints.databaseOf(primary);
        if (database.isEmpty()) {
            resolve(ticket, false, nowMillis, out);
            return;
        }
        Key key = new Key(primary, position.term());
        PendingConfirmations confirmations = confirmationsByTerm.computeIfAbsent(
                key, k -> new PendingConfirmations(database.get(), primary, position.term()));
        confirmations.add(ticket, position.offset(), deadlineMillis);
        sendAwaits(confirmations, nowMillis, out);
    }

    /** Confirms for a system of this VM, which receives the result through a callback instead of an action. */
    void confirm(
            EndpointId primary,
            LogPosition position,
            long deadlineMillis,
            ResolutionCallback callback,
            long nowMillis,
            Outbox out) {
        long ticket = --lastInternalTicket;
        resolutionCallbacks.put(ticket, callback);
        confirm(ticket, primary, position, deadlineMillis, nowMillis, out);
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        for (PendingConfirmations confirmations : List.copyOf(confirmationsByTerm.values())) {
            resolveTickets(confirmations, nowMillis, out);
            sendAwaits(confirmations, nowMillis, out);
        }
        confirmationsByTerm.values().removeIf(PendingConfirmations::isEmpty);
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        // Responses arrive through the router.
    }

    private void sendAwaits(PendingConfirmations confirmations, long nowMillis, Outbox out) {
        for (EndpointDeclaration endpoint : confirmations.database().endpoints()) {
            confirmations.nextAwait(endpoint.id(), nowMillis).ifPresent(await -> {
                ControlRequest request = new ControlRequest.AwaitPosition(confirmations.term(), await.offset());
                ControlCallback callback =
                        (outcome, now, outbox) -> onAwaitOutcome(confirmations, await, outcome, now, outbox);
                boolean primary = endpoint.id().equals(confirmations.primary());
                long timeout = primary ? PRIMARY_TIMEOUT_MILLIS : SIBLING_TIMEOUT_MILLIS;
                router.call(endpoint, request, timeout, await.attempt(), callback, nowMillis, out);
            });
        }
    }

    private void onAwaitOutcome(
            PendingConfirmations confirmations,
            PendingConfirmations.Await await,
            ControlOutcome outcome,
            long nowMillis,
            Outbox out) {
        if (outcome.hasAcceptedTermAbove(confirmations.term()) || isNoLongerPrimary(confirmations, await, outcome)) {
            confirmations.recordTermLeft(await);
        } else if (outcome.isAccepted()) {
            confirmations.recordAccepted(await);
        } else {
            long delay = Math.min(MAX_RETRY_DELAY_MILLIS, INITIAL_RETRY_DELAY_MILLIS << Math.min(await.attempt(), 4));
            confirmations.recordFailure(await, nowMillis + delay);
        }
        resolveTickets(confirmations, nowMillis, out);
        sendAwaits(confirmations, nowMillis, out);
    }

    /**
     * Whether the endpoint that was the primary of the term accepted the await in another role. A latest read is valid
     * only at an endpoint that was still the primary of the term when it confirmed.
     */
    private static boolean isNoLongerPrimary(
            PendingConfirmations confirmations, PendingConfirmations.Await await, ControlOutcome outcome) {
        return outcome.isAccepted()
                && await.endpoint().equals(confirmations.primary())
                && outcome.status()
                        .filter(s -> s.role() == EndpointRole.PRIMARY)
                        .isEmpty();
    }

    private void resolveTickets(PendingConfirmations confirmations, long nowMillis, Outbox out) {
        confirmations.takeConfirmed().forEach(ticket -> resolve(ticket, true, nowMillis, out));
        confirmations.takeFailed(nowMillis).forEach(ticket -> resolve(ticket, false, nowMillis, out));
    }

    private void resolve(long ticket, boolean confirmed, long nowMillis, Outbox out) {
        ResolutionCallback callback = resolutionCallbacks.remove(ticket);
        if (callback == null) {
            out.add(new Action.ResolveCommit(ticket, confirmed));
        } else {
            callback.onResolved(confirmed, nowMillis, out);
        }
    }

    /** Receives the result of a confirmation that a system of this VM requested. */
    @FunctionalInterface
    interface ResolutionCallback {

        /** Called exactly once. */
        void onResolved(boolean confirmed, long nowMillis, Outbox out);
    }

    private record Key(EndpointId primary, long term) {}
}
