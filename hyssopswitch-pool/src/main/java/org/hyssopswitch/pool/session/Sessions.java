package org.hyssopswitch.pool.session;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Route;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.quota.AccountLimiter;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.proxy.net.GuardedTaskUtils;

/** Registry of the sessions of this VM. */
public final class Sessions {

    /** Fraction of the latency objective after which an unanswered read is also sent to another endpoint. */
    private static final double HEDGE_DELAY_RATIO = 0.5;

    private final DatabaseGroups groups;
    private final AccountLimiter limiter;
    private final RequestLog log;
    private final RequestMetrics metrics;
    private final LongSupplier clock;
    private final Set<CallerSession> openSessions = new LinkedHashSet<>();
    private Catalog catalog = Catalog.EMPTY;

    /**
     * Creates a registry without sessions.
     *
     * @param groups the database groups
     * @param limiter rate limiter of client accounts
     * @param log log of requests
     * @param metrics counters and latencies of requests
     * @param clock milliseconds of the monotonic clock
     */
    public Sessions(
            DatabaseGroups groups, AccountLimiter limiter, RequestLog log, RequestMetrics metrics, LongSupplier clock) {
        this.groups = groups;
        this.limiter = limiter;
        this.log = log;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Creates the session of a new connection.
     *
     * @param link the connection
     */
    public CallerSession accept(CallerLink link) {
        CallerSession session = new CallerSession(this, link);
        openSessions.add(session);
        return session;
    }

    /**
     * Applies a configuration.
     *
     * @param next the configuration
     */
    public void configure(Catalog next) {
        catalog = next;
        tick();
    }

    /** Returns the number of open sessions. */
    public int size() {
        return openSessions.size();
    }

    /** Enforces the time limits of all sessions; called every few milliseconds. */
    public void tick() {
        long now = nowMillis();
        for (CallerSession session : List.copyOf(openSessions)) {
            if (!GuardedTaskUtils.run("session_tick", () -> session.tick(now))) {
                session.close();
            }
        }
    }

    /**
     * Closes sessions that are not starting, have no statement running and no transaction open.
     *
     * @param limit maximum number of sessions to close
     */
    public void closeIdle(int limit) {
        List.copyOf(openSessions).stream()
                .filter(CallerSession::isIdle)
                .limit(limit)
                .forEach(CallerSession::close);
    }

    /**
     * Aborts transactions that have no statement running.
     *
     * @param cause reason reported to the callers
     */
    public void abortIdleTransactions(String cause) {
        List.copyOf(openSessions).forEach(session -> session.abortIdleTransaction(cause));
    }

    /** Whether a configuration was applied. */
    boolean hasConfiguration() {
        return catalog.version() >= 0;
    }

    Catalog catalog() {
        return catalog;
    }

    AccountLimiter limiter() {
        return limiter;
    }

    RequestMetrics metrics() {
        return metrics;
    }

    RequestLog log() {
        return log;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    long hedgeAfterMillis(Route route) {
        return Math.round(route.objectiveMillis() * HEDGE_DELAY_RATIO);
    }

    void submit(CallerOperation operation) {
        groups.find(operation.route().group())
                .peek(group -> group.submit(operation))
                .onEmpty(() -> operation.refused(ErrorCode.OVERLOADED, "the group is not configured"));
    }

    void prefetch(CallerOperation operation, boolean evict) {
        groups.find(operation.route().group()).forEach(group -> group.prefetch(operation, evict));
    }

    void remove(CallerSession session) {
        openSessions.remove(session);
    }
}
