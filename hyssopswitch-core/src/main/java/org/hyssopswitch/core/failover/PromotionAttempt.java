package org.hyssopswitch.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * One attempt to promote an endpoint of a group in one term: fences a majority, then promotes the most advanced
 * endpoint of that majority.
 *
 * <p>Once an endpoint has been chosen, the attempt never chooses another one, so that a term has at most one primary.
 */
final class PromotionAttempt {

    /** State of the attempt. */
    enum State {
        /** Waiting for a majority of endpoints to accept the fence. */
        FENCING,
        /** Waiting for the chosen endpoint to confirm its promotion. */
        PROMOTING,
        /** The chosen endpoint is the primary of the term. */
        DONE,
        /** Another coordinator uses this term or a higher one, or the deadline has passed. */
        FAILED
    }

    private static final long CALL_TIMEOUT_MILLIS = 400;
    private static final long RETRY_DELAY_MILLIS = 50;

    private final DatabaseDeclaration database;
    private final long term;
    private final String coordinator;
    private final Set<EndpointId> avoided;
    private final long deadlineMillis;
    private final ControlRouter router;
    private final Map<EndpointId, EndpointStatus> fenced = new HashMap<>();
    private final Map<EndpointId, Call> calls = new HashMap<>();
    private State state = State.FENCING;
    private long highestTerm;
    private Optional<EndpointStatus> chosen = Optional.empty();

    /**
     * Creates an attempt.
     *
     * @param database the group
     * @param term the term, never used by this coordinator before
     * @param coordinator this coordinator
     * @param avoided endpoints that may become primary only if no majority can be fenced without them
     * @param deadlineMillis time of the monotonic clock at which the attempt fails
     * @param router makes the control calls
     */
    PromotionAttempt(
            DatabaseDeclaration database,
            long term,
            String coordinator,
            Set<EndpointId> avoided,
            long deadlineMillis,
            ControlRouter router) {
        this.database = database;
        this.term = term;
        this.coordinator = coordinator;
        this.avoided = Set.copyOf(avoided);
        this.deadlineMillis = deadlineMillis;
        this.router = router;
        this.highestTerm = term;
        database.endpoints().forEach(e -> calls.put(e.id(), new Call()));
    }

    State state() {
        return state;
    }

    long term() {
        return term;
    }

    /** Returns the highest term seen in responses, and at least the term of this attempt. */
    long highestTerm() {
        return highestTerm;
    }

    /** Returns the status of the promoted endpoint once it has confirmed its promotion. */
    Optional<EndpointStatus> promoted() {
        return state == State.DONE ? chosen : Optional.empty();
    }

    /** Makes the calls that are due. */
    void step(long nowMillis, Outbox out) {
        if (nowMillis >= deadlineMillis && state != State.DONE) {
            state = State.FAILED;
        }
        if (state == State.FENCING) {
            database.endpoints().stream()
                    .filter(e -> !fenced.containsKey(e.id()))
                    .forEach(e -> call(e, new ControlRequest.Fence(term, coordinator), nowMillis, out));
        } else if (state == State.PROMOTING) {
            EndpointId target = chosen.orElseThrow().endpoint();
            database.endpoints().stream()
                    .filter(e -> e.id().equals(target))
                    .forEach(e -> call(e, new ControlRequest.Promote(term, coordinator), nowMillis, out));
        }
    }

    private void call(EndpointDeclaration endpoint, ControlRequest request, long nowMillis, Outbox out) {
        Call call = calls.get(endpoint.id());
        if (state == State.FAILED || call.inFlight || nowMillis < call.retryMillis) {
            return;
        }
        call.inFlight = true;
        ControlCallback callback = (outcome, now, outbox) -> {
            call.recordOutcome(outcome, now);
            onOutcome(endpoint.id(), request, outcome, now, outbox);
        };
        router.call(endpoint, request, CALL_TIMEOUT_MILLIS, call.attempts, callback, nowMillis, out);
    }

    private void onOutcome(
            EndpointId endpoint, ControlRequest request, ControlOutcome outcome, long nowMillis, Outbox out) {
        outcome.status().ifPresent(s -> highestTerm = Math.max(highestTerm, s.acceptedTerm()));
        if (outcome.result() == ControlResult.REFUSED && isRelevant(request)) {
            // Another coordinator uses this term or a higher one.
            state = State.FAILED;
        } else if (outcome.isAccepted() && isRelevant(request) && state == State.FENCING) {
            fenced.put(endpoint, outcome.status().orElseThrow());
        } else if (outcome.isAccepted() && isRelevant(request)) {
            chosen = outcome.status();
            state = State.DONE;
        }
        if (state == State.FENCING) {
            chooseCandidate();
        }
        step(nowMillis, out);
    }

    /** Whether the outcome of a request still matters; that of a fence does not once a majority is fenced. */
    private boolean isRelevant(ControlRequest request) {
        return state == (request instanceof ControlRequest.Fence ? State.FENCING : State.PROMOTING);
    }

    /**
     * Chooses the most advanced endpoint of a fenced majority. Every majority holds all acknowledged writes, so a
     * majority without the avoided endpoints is sufficient even if those are more advanced.
     */
    private void chooseCandidate() {
        if (fenced.size() < database.majority()) {
            return;
        }
        List<EndpointStatus> preferred = fenced.values().stream()
                .filter(s -> !avoided.contains(s.endpoint()))
                .toList();
        boolean enough = preferred.size() >= database.majority();
        if (!enough && hasFirstFencePending()) {
            return;
        }
        chosen = (enough ? preferred : List.copyOf(fenced.values()))
                .stream().max(Comparator.comparing(EndpointStatus::applied).thenComparing(EndpointStatus::endpoint));
        state = State.PROMOTING;
    }

    /** Whether the first fence of some endpoint is still in flight. */
    private boolean hasFirstFencePending() {
        return database.endpoints().stream()
                .anyMatch(e -> !fenced.containsKey(e.id()) && calls.get(e.id()).attempts == 0);
    }

    private static final class Call {
        private boolean inFlight;
        private int attempts;
        private long retryMillis = Long.MIN_VALUE;

        private void recordOutcome(ControlOutcome outcome, long nowMillis) {
            inFlight = false;
            if (!outcome.isAccepted()) {
                attempts++;
                retryMillis = nowMillis + RETRY_DELAY_MILLIS;
            }
        }
    }
}
