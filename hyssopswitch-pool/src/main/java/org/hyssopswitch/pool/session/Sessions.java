package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.drain.StopSchedule;
import org.hyssopswitch.core.position.LogPosition;
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
    private final CommitGuard commitGuard;
    private final LongSupplier clock;
    private final Set<CallerSession> openSessions = new LinkedHashSet<>();
    private Catalog catalog = Catalog.EMPTY;
    private Option<SessionStop> stop = Option.none();

    /**
     * Creates a registry without sessions.
     *
     * @param groups the database groups
     * @param limiter rate limiter of client accounts
     * @param log log of requests
     * @param metrics counters and latencies of requests
     * @param commitGuard decides when callers are told of commits
     * @param clock milliseconds of the monotonic clock
     */
    public Sessions(
            DatabaseGroups groups,
            AccountLimiter limiter,
            RequestLog log,
            RequestMetrics metrics,
            CommitGuard commitGuard,
            LongSupplier clock) {
        this.groups = groups;
        this.limiter = limiter;
        this.log = log;
        this.metrics = metrics;
        this.commitGuard = commitGuard;
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
     * Begins to end the sessions, because the VM stops.
     *
     * @param schedule when it ends them
     */
    public void stop(StopSchedule schedule) {
        stop = Option.some(new SessionStop(schedule, nowMillis()));
    }

    /** Starts no statement any more, because the process ends. */
    public void refuseAll() {
        stop.forEach(SessionStop::end);
    }

    /**
     * Closes sessions that are not starting, have no statement running and no transaction open. While the VM stops, the
     * rest of the limit is left to sessions that become idle until the next call.
     *
     * @param limit maximum number of sessions to close
     */
    public void closeIdle(int limit) {
        List<CallerSession> idle = List.copyOf(openSessions).stream()
                .filter(CallerSession::isIdle)
                .limit(limit)
                .toList();
        idle.forEach(CallerSession::close);
        stop.forEach(stopping -> stopping.allowCloses(limit - idle.size()));
    }

    /** Aborts transactions that have no statement running, because the VM stops. */
    public void abortIdleTransactions() {
        List.copyOf(openSessions).forEach(CallerSession::abortIdleTransaction);
    }

    /** Whether a session ends now that it has answered an operation. */
    boolean endsAfterOperation() {
        return stop.exists(stopping -> stopping.takeClose(nowMillis()));
    }

    /** Whether a transaction ends now that it has answered a statement. */
    boolean endsTransactions() {
        return stop.exists(stopping -> stopping.endsTransactions(nowMillis()));
    }

    /** Whether a statement of a route may start, or the VM stops too soon for it. */
    boolean mayStart(Route route) {
        return !stop.exists(stopping -> !stopping.mayStart(nowMillis(), route.timeoutMillis()));
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

    void confirmCommit(Route route, Option<LogPosition> commit, Consumer<Boolean> done) {
        commitGuard.confirm(route.group(), commit, done);
    }

    void prefetch(CallerOperation operation, boolean evict) {
        groups.find(operation.route().group()).forEach(group -> group.prefetch(operation, evict));
    }

    void remove(CallerSession session) {
        openSessions.remove(session);
    }
}
