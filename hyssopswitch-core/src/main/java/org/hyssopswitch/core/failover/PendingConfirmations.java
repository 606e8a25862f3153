package org.hyssopswitch.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.identity.EndpointId;

/** Commit confirmations that are pending for one primary in one term. */
final class PendingConfirmations {

    private final DatabaseDeclaration database;
    private final EndpointId primary;
    private final long term;
    private final List<Ticket> tickets = new ArrayList<>();
    private final Map<EndpointId, Member> members = new HashMap<>();
    private long lastSequence;

    PendingConfirmations(DatabaseDeclaration database, EndpointId primary, long term) {
        this.database = database;
        this.primary = primary;
        this.term = term;
        database.endpoints().forEach(e -> members.put(e.id(), new Member()));
    }

    DatabaseDeclaration database() {
        return database;
    }

    EndpointId primary() {
        return primary;
    }

    long term() {
        return term;
    }

    boolean isEmpty() {
        return tickets.isEmpty();
    }

    void add(long number, long offset, long deadlineMillis) {
        tickets.add(new Ticket(number, ++lastSequence, offset, deadlineMillis, new HashSet<>()));
    }

    /**
     * Returns the next await to send to an endpoint, covering all tickets that it has not confirmed, and marks it as in
     * flight. Empty if no such ticket exists, an await is in flight, the retry delay has not elapsed or the endpoint
     * has left the term.
     */
    Optional<Await> nextAwait(EndpointId endpoint, long nowMillis) {
        Member member = members.get(endpoint);
        if (member.awaitInFlight || member.leftTerm || nowMillis < member.retryMillis) {
            return Optional.empty();
        }
        long offset = tickets.stream()
                .filter(t -> !t.confirmedBy().contains(endpoint))
                .mapToLong(Ticket::offset)
                .max()
                .orElse(-1);
        if (offset < 0) {
            return Optional.empty();
        }
        member.awaitInFlight = true;
        return Optional.of(new Await(endpoint, offset, lastSequence, member.attempts));
    }

    /** Records an accepted await: it confirms the tickets that existed when it was sent, up to its offset. */
    void recordAccepted(Await await) {
        Member member = members.get(await.endpoint());
        member.awaitInFlight = false;
        member.attempts = 0;
        tickets.stream()
                .filter(t -> t.sequence() <= await.sequence() && t.offset() <= await.offset())
                .forEach(t -> t.confirmedBy().add(await.endpoint()));
    }

    /** Records that the endpoint has accepted a higher term, or is no longer the primary that was expected. */
    void recordTermLeft(Await await) {
        Member member = members.get(await.endpoint());
        member.awaitInFlight = false;
        member.leftTerm = true;
    }

    /** Records an await without a usable response; the next attempt goes through the other home. */
    void recordFailure(Await await, long retryMillis) {
        Member member = members.get(await.endpoint());
        member.awaitInFlight = false;
        member.attempts++;
        member.retryMillis = retryMillis;
    }

    /** Removes and returns the tickets confirmed by a majority that includes the primary. */
    List<Long> takeConfirmed() {
        return take(tickets.stream()
                .filter(t -> t.confirmedBy().size() >= database.majority()
                        && t.confirmedBy().contains(primary))
                .toList());
    }

    /**
     * Removes and returns the tickets that have failed: those past their deadline, or all of them once the primary
     * or so many endpoints have left the term that no majority remains.
     */
    List<Long> takeFailed(long nowMillis) {
        long remaining = members.values().stream().filter(m -> !m.leftTerm).count();
        boolean unconfirmable = remaining < database.majority() || members.get(primary).leftTerm;
        return take(tickets.stream()
                .filter(t -> unconfirmable || nowMillis >= t.deadlineMillis())
                .toList());
    }

    private List<Long> take(List<Ticket> taken) {
        tickets.removeAll(taken);
        return taken.stream().map(Ticket::number).toList();
    }

    /**
     * An await in flight.
     *
     * @param endpoint the endpoint
     * @param offset the log offset awaited
     * @param sequence sequence number of the last ticket added before it was sent
     * @param attempt number of consecutive failures before it
     */
    record Await(EndpointId endpoint, long offset, long sequence, int attempt) {}

    private record Ticket(long number, long sequence, long offset, long deadlineMillis, Set<EndpointId> confirmedBy) {}

    private static final class Member {
        private boolean awaitInFlight;
        private boolean leftTerm;
        private int attempts;
        private long retryMillis = Long.MIN_VALUE;
    }
}
