package org.hyssopswitch.core.failover;

import java.util.Optional;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.session.EndpointHint;

/** Polling and reporting state of one endpoint that this VM is the home of. */
final class MonitoredEndpoint {

    private static final long ACTIVE_MILLIS = 5_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private EndpointDeclaration endpoint;
    private DatabaseDeclaration database;
    private Optional<EndpointStatus> status = Optional.empty();
    private boolean pollInFlight;
    private boolean changed;
    private long nextPollMillis;
    private long pollSentMillis;
    private long statusTakenMillis;
    private long unresponsiveSinceMillis = NEVER;
    private long lastAdvanceMillis;
    private long lastReportMillis = NEVER;
    private long lastFollowMillis = NEVER;

    MonitoredEndpoint(EndpointDeclaration endpoint, DatabaseDeclaration database, long nowMillis) {
        this.endpoint = endpoint;
        this.database = database;
        this.lastAdvanceMillis = nowMillis;
    }

    EndpointDeclaration endpoint() {
        return endpoint;
    }

    DatabaseDeclaration database() {
        return database;
    }

    /** Replaces the declaration of the endpoint and keeps the state. */
    MonitoredEndpoint updateDeclaration(MonitoredEndpoint next) {
        endpoint = next.endpoint;
        database = next.database;
        return this;
    }

    boolean isPollDue(long nowMillis) {
        return !pollInFlight && nowMillis >= nextPollMillis;
    }

    void recordPollSent(long nowMillis) {
        pollInFlight = true;
        pollSentMillis = nowMillis;
    }

    void scheduleNextPoll(long millis) {
        nextPollMillis = millis;
    }

    /**
     * Records the outcome of a poll; empty if it failed. The status is dated at the time of the call, since it may be
     * that old.
     */
    void recordPollOutcome(Optional<EndpointStatus> answer, long nowMillis, long suspectContactMillis) {
        pollInFlight = false;
        if (answer.isEmpty()) {
            changed |= unresponsiveSinceMillis == NEVER;
            unresponsiveSinceMillis = unresponsiveSinceMillis == NEVER ? pollSentMillis : unresponsiveSinceMillis;
            return;
        }
        EndpointStatus next = answer.get();
        changed |= unresponsiveSinceMillis != NEVER || isSignificantChange(next, suspectContactMillis);
        unresponsiveSinceMillis = NEVER;
        if (status.filter(s -> s.applied().equals(next.applied())).isEmpty()) {
            lastAdvanceMillis = nowMillis;
        }
        statusTakenMillis = pollSentMillis;
        status = answer;
    }

    /** Whether the applied position of the endpoint has changed recently, or its monitoring has only begun. */
    boolean isActive(long nowMillis) {
        return nowMillis - lastAdvanceMillis <= ACTIVE_MILLIS;
    }

    boolean isReportDue(long nowMillis, long intervalMillis) {
        return status.isPresent() && (changed || nowMillis - lastReportMillis >= intervalMillis);
    }

    Optional<GroupReport> takeReport(long nowMillis, int load) {
        changed = false;
        lastReportMillis = nowMillis;
        long unresponsive = unresponsiveSinceMillis == NEVER ? 0 : Math.max(1, nowMillis - unresponsiveSinceMillis);
        long age = Math.max(0, nowMillis - statusTakenMillis);
        return status.map(s -> new GroupReport(new EndpointHint(s, age, load), unresponsive));
    }

    boolean tryFollow(long nowMillis, long periodMillis) {
        if (nowMillis - lastFollowMillis < periodMillis) {
            return false;
        }
        lastFollowMillis = nowMillis;
        return true;
    }

    private boolean isSignificantChange(EndpointStatus next, long suspectContactMillis) {
        return next.contactAgeMillis() >= suspectContactMillis
                || status.filter(s -> s.role() == next.role() && s.acceptedTerm() == next.acceptedTerm())
                        .isEmpty();
    }
}
