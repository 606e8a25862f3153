package org.hyssopswitch.core.failover;

import java.util.Optional;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.session.EndpointHint;

/** An endpoint that this VM is the home of, with the state of its polling. */
final class MonitoredEndpoint {

    private static final long ACTIVE_MILLIS = 5_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private EndpointDeclaration endpoint;
    private DatabaseDeclaration database;
    private Optional<EndpointStatus> status = Optional.empty();
    private boolean outstanding;
    private boolean changed;
    private long nextPollMillis;
    private long askedMillis;
    private long measuredMillis;
    private long silentSinceMillis = NEVER;
    private long movedMillis;
    private long reportedMillis = NEVER;
    private long followedMillis = NEVER;

    MonitoredEndpoint(EndpointDeclaration endpoint, DatabaseDeclaration database, long nowMillis) {
        this.endpoint = endpoint;
        this.database = database;
        this.movedMillis = nowMillis;
    }

    EndpointDeclaration endpoint() {
        return endpoint;
    }

    DatabaseDeclaration database() {
        return database;
    }

    /** Takes over another declaration of the same endpoint and keeps the state. */
    MonitoredEndpoint redeclared(MonitoredEndpoint next) {
        endpoint = next.endpoint;
        database = next.database;
        return this;
    }

    boolean isPollDue(long nowMillis) {
        return !outstanding && nowMillis >= nextPollMillis;
    }

    void polled(long nowMillis) {
        outstanding = true;
        askedMillis = nowMillis;
    }

    void pollAgainAt(long millis) {
        nextPollMillis = millis;
    }

    /** Takes the answer of a poll; the status is dated at the time of the request, since it may be as old. */
    void answered(Optional<EndpointStatus> answer, long nowMillis, long doubtMillis) {
        outstanding = false;
        if (answer.isEmpty()) {
            changed |= silentSinceMillis == NEVER;
            silentSinceMillis = silentSinceMillis == NEVER ? askedMillis : silentSinceMillis;
            return;
        }
        EndpointStatus next = answer.get();
        changed |= silentSinceMillis != NEVER || isMaterial(next, doubtMillis);
        silentSinceMillis = NEVER;
        if (status.filter(s -> s.applied().equals(next.applied())).isEmpty()) {
            movedMillis = nowMillis;
        }
        measuredMillis = askedMillis;
        status = answer;
    }

    /** Whether the group has been written to of late. */
    boolean isActive(long nowMillis) {
        return nowMillis - movedMillis <= ACTIVE_MILLIS;
    }

    boolean isReportDue(long nowMillis, long intervalMillis) {
        return status.isPresent() && (changed || nowMillis - reportedMillis >= intervalMillis);
    }

    Optional<GroupReport> report(long nowMillis, int load) {
        changed = false;
        reportedMillis = nowMillis;
        long silent = silentSinceMillis == NEVER ? 0 : Math.max(1, nowMillis - silentSinceMillis);
        long age = Math.max(0, nowMillis - measuredMillis);
        return status.map(s -> new GroupReport(new EndpointHint(s, age, load), silent));
    }

    boolean mayFollow(long nowMillis, long periodMillis) {
        if (nowMillis - followedMillis < periodMillis) {
            return false;
        }
        followedMillis = nowMillis;
        return true;
    }

    private boolean isMaterial(EndpointStatus next, long doubtMillis) {
        return next.contactAgeMillis() >= doubtMillis
                || status.filter(s -> s.role() == next.role() && s.acceptedTerm() == next.acceptedTerm())
                        .isEmpty();
    }
}
