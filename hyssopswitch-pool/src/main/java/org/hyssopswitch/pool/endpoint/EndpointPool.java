package org.hyssopswitch.pool.endpoint;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.proxy.net.GuardedTaskUtils;

/**
 * The connections of this VM to one endpoint and the requests that wait for them.
 *
 * <p>A connection serves one client account. Up to a target size the VM keeps its connections; at that size, an idle
 * connection of another account is closed before a further one is opened. Beyond the target size, connections are
 * opened only while all others are in use, and closed soon after their use to leave room for other VMs. Where an
 * endpoint accepts too few connections for all VMs, one VM lends them to the others.
 */
final class EndpointPool {

    /** Time for which an idle connection beyond the target size stays open, milliseconds. */
    private static final long SURPLUS_IDLE_TIMEOUT_MILLIS = 100;

    /** Time for which an idle connection stays open, milliseconds; endpoints close idle ones after a minute. */
    private static final long IDLE_TIMEOUT_MILLIS = 40_000;

    /** Time without contact, with a command unanswered, after which an endpoint is unreachable, milliseconds. */
    private static final long UNREACHABLE_AFTER_MILLIS = 500;

    /** Time without contact, with a command unanswered, after which the endpoint is probed, milliseconds. */
    private static final long PROBE_AFTER_MILLIS = 150;

    /** Time without contact, with a command unanswered, after which the endpoint gets no new requests, milliseconds. */
    private static final long SUSPECT_MILLIS = 300;

    /** Time for which an endpoint still gets requests after it has announced that it stops, milliseconds. */
    private static final long DRAINING_USABLE_MILLIS = 5_500;

    /** Fraction of the time to open a connection that is charged to one request; later ones use the connection too. */
    private static final double OPEN_TIME_WEIGHT = 0.3;

    /** Fraction of an endpoint's remaining cold time that is charged to a request. */
    private static final double COLD_TIME_WEIGHT = 0.01;

    private static final Logger LOG = LogManager.getLogger(EndpointPool.class);

    private final EndpointConnector connector;
    private final LeaseSource leases;
    private final PoolCallbacks callbacks;
    private final MetricRegistry metrics;
    private final LongSupplier clock;
    private final List<PooledConnection> connections = new ArrayList<>();
    private final ConnectionRequestQueue waiting;
    private final PoolCounters counters = new PoolCounters();
    private final LatencyEstimates estimates = new LatencyEstimates();
    private final ConnectionBudget budget;
    private final PrimarySampler sampler;
    private final SilentConnectionDetector silentConnections;
    private Endpoint endpoint;
    private long lastProbeMillis;
    private boolean suspect;
    private long suspectUntilMillis;
    private Option<Long> drainingSinceMillis = Option.none();
    private long lastContactMillis;
    private boolean reachable = true;
    private boolean dispatching;
    private Account lastOpenedAccount = Account.ANONYMOUS;

    EndpointPool(
            Endpoint endpoint, PoolLimits limits, GroupContext context, PoolCallbacks callbacks, WaitingPlaces places) {
        this.endpoint = endpoint;
        this.waiting = new ConnectionRequestQueue(places);
        this.budget = new ConnectionBudget(limits);
        this.connector = context.connector();
        this.leases = context.leases();
        this.callbacks = callbacks;
        this.metrics = context.metrics();
        this.clock = context.clock();
        this.sampler = new PrimarySampler(this);
        this.lastContactMillis = clock.getAsLong();
        this.suspectUntilMillis = lastContactMillis;
        this.silentConnections = new SilentConnectionDetector(lastContactMillis);
    }

    Endpoint endpoint() {
        return endpoint;
    }

    PoolCallbacks callbacks() {
        return callbacks;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    boolean reachable() {
        return reachable;
    }

    /** Applies a changed entry; connections to an earlier process are closed. */
    void update(Endpoint changed, PoolLimits changedLimits) {
        boolean same = endpoint.isSameProcess(changed);
        endpoint = changed;
        drainingSinceMillis = changed.draining() ? drainingSinceMillis.orElse(Option.some(nowMillis())) : Option.none();
        budget.update(changedLimits);
        if (!same) {
            List.copyOf(connections).forEach(PooledConnection::discard);
            budget.resetOpenDelay(nowMillis());
            markReachable();
        }
    }

    /** Whether the endpoint may get new requests. */
    boolean usable() {
        return reachable
                && !isSuspect()
                && !drainingSinceMillis.exists(since -> nowMillis() - since > DRAINING_USABLE_MILLIS);
    }

    /** Whether the endpoint is suspected to be unavailable, because it has not answered for a while. */
    boolean isSuspect() {
        return suspect || nowMillis() < suspectUntilMillis;
    }

    /** Returns the expected time until a new statement of an account would be answered, milliseconds. */
    double expectedMillis(Account account) {
        double cold = endpoint.coldMillis() * COLD_TIME_WEIGHT;
        double service = estimates.serviceMillis();
        if (isBorrower()) {
            return estimates.leaseMillis(nowMillis()) + service + cold;
        }
        long usable = direct().filter(c -> c.serves(account)).count();
        boolean idle = direct().anyMatch(c -> c.idle() && c.serves(account));
        double opening = idle ? 0 : estimates.openMillis() * OPEN_TIME_WEIGHT;
        double queued = waiting.size() * service / Math.max(1, Math.max(usable, directCount()));
        double busy = direct().filter(c -> !c.idle()).count() * service / 2;
        return opening + queued + busy + service + cold;
    }

    void offer(ConnectionRequest request) {
        waiting.add(request, request.assignmentDeadlineMillis(), nowMillis());
        dispatch();
    }

    /** Queues the request of another VM and keeps connections for lending from now on. */
    void lend(ConnectionRequest request) {
        budget.recordLending(nowMillis());
        offer(request);
    }

    /** Opens a connection that an account is about to need, unless one is idle or being opened. */
    void prefetch(Account account, boolean evict) {
        long now = nowMillis();
        boolean ready = direct().anyMatch(c -> (c.idle() || c.opening()) && c.serves(account));
        if (!isBorrower()
                && !ready
                && budget.mayOpen(now)
                && (evict ? makeRoom(now) : directCount() < targetSize(now))) {
            open(account, now);
        }
    }

    /** Submits all waiting requests to the group again. */
    void requeueWaiting() {
        waiting.drain().forEach(callbacks::requeue);
    }

    /** Logs the use of connections since the last report. */
    void report() {
        LOG.info(
                "event=pool_report endpoint={} group={} connections={} idle={} borrowed={} waiting={} service_ms={} {}",
                endpoint.id(),
                endpoint.group(),
                directCount(),
                direct().filter(PooledConnection::idle).count(),
                connections.size() - directCount(),
                waiting.size(),
                Math.round(estimates.serviceMillis()),
                counters.reportAndReset());
    }

    /** Closes all idle connections. */
    void closeIdle() {
        connections.stream().filter(PooledConnection::idle).toList().forEach(PooledConnection::discard);
    }

    void tick() {
        long now = nowMillis();
        String reason = "no connection to " + endpoint.id() + " became free in time";
        GuardedTaskUtils.forEach(
                "refuse_expired", waiting.removeExpired(now), request -> request.refused(ErrorCode.OVERLOADED, reason));
        checkLastContact(now);
        discardSilent(now);
        closeExpiredIdle(now);
        if (!reachable) {
            probe(now);
        }
        sampler.tick();
        dispatch();
    }

    /** Queries whether the endpoint is the primary and at which log position, through the lender if there is one. */
    void samplePrimary() {
        if (!isBorrower() || !leases.queryPosition(endpoint, new LenderPositionListener(nowMillis()))) {
            sampler.sample();
        }
    }

    /** Queries, on behalf of another VM, whether the endpoint is the primary. */
    void queryPosition(PositionListener listener) {
        sampler.query(listener);
    }

    /** Returns an idle direct connection; if there is none, starts opening one. */
    Option<PooledConnection> findIdleOrOpen() {
        Option<PooledConnection> idle =
                Option.ofOptional(direct().filter(PooledConnection::idle).findFirst());
        if (idle.isEmpty()) {
            probe(nowMillis());
        }
        return idle;
    }

    /** Assigns connections to waiting requests, opens or borrows missing ones, and returns unused leases. */
    void dispatch() {
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            assignIdle();
            openMissing();
            returnUnusedLeases();
        } finally {
            dispatching = false;
        }
    }

    void remove(PooledConnection connection) {
        connections.remove(connection);
    }

    void recordContact() {
        lastContactMillis = nowMillis();
        suspect = false;
        suspectUntilMillis = lastContactMillis;
        markReachable();
    }

    /** Restarts the timeouts after a pause of this VM, during which it could not receive anything. */
    void resetLastContact() {
        lastContactMillis = nowMillis();
    }

    void recordOpened(long millis) {
        counters.recordOpened(millis);
        budget.recordOpened();
        estimates.recordOpen(millis);
    }

    void recordLeased(long millis) {
        counters.recordLeased(millis);
        estimates.recordLease(millis, nowMillis());
    }

    void recordServiceTime(long millis) {
        estimates.recordService(millis);
    }

    /** Counts a repeated reply; logged once per connection. */
    void recordReplyRepeated(String awaited, boolean first, long connectionAgeMillis) {
        counters.recordReplyRepeated();
        metrics.counter("endpoint_replies.repeated").inc();
        if (first) {
            LOG.warn(
                    "event=reply_repeated endpoint={} group={} awaited={} connection_age_ms={}",
                    endpoint.id(),
                    endpoint.group(),
                    awaited,
                    connectionAgeMillis);
        }
    }

    /** Counts and logs a connection on which replies no longer follow the commands in order. */
    void recordOutOfStep(String awaited, String cause, long connectionAgeMillis) {
        counters.recordOutOfStep();
        metrics.counter("endpoint_replies.out_of_step").inc();
        LOG.warn(
                "event=connection_out_of_step endpoint={} group={} awaited={} cause={} connection_age_ms={}",
                endpoint.id(),
                endpoint.group(),
                awaited,
                cause,
                connectionAgeMillis);
    }

    /** Counts a connection closed after its operation because later replies on it could not be told apart. */
    void recordRetired() {
        counters.recordRetired();
        metrics.counter("endpoint_connections.retired").inc();
    }

    void openRefused(ErrorCode code) {
        counters.recordOpenRefused();
        long now = nowMillis();
        if (code == ErrorCode.TOO_MANY_CONNECTIONS) {
            recordContact();
            budget.recordFull(directCount(), now);
            if (directCount() < budget.guaranteed()) {
                callbacks.connectionShortage(endpoint.id());
            }
        } else {
            budget.recordForeignProcess(now);
            markUnreachable("refused_" + code);
        }
    }

    void connectionFailed(boolean opening) {
        if (opening) {
            budget.recordOpenFailure(nowMillis());
            markUnreachable("connect_failed");
        } else if (reachable) {
            // A new connection distinguishes a crash, which breaks all connections, from the loss of a single one.
            probe(nowMillis());
        }
    }

    /** Handles a lease that was refused or ended by the lender. */
    void leaseEnded(Account account, boolean opening, LeaseEndReason reason) {
        switch (reason) {
            case OVERLOADED -> {
                if (opening) {
                    refuseLast(account);
                }
            }
            case SUSPECT -> {
                suspectUntilMillis = nowMillis() + SUSPECT_MILLIS;
                requeueWaiting();
            }
            case UNREACHABLE -> markUnreachable("lender_does_not_reach_it");
            default -> dispatch();
        }
    }

    /** Sends a command of the VM itself; the callback receives nothing if it was not answered. */
    void sendControl(EndpointCommand command, long maxWaitMillis, Consumer<Option<Reply>> callback) {
        offer(new ControlCommandRequest(
                endpoint.id(), command, lastOpenedAccount, nowMillis() + maxWaitMillis, callback));
    }

    /** Closes connections as soon as they are idle, because this VM stops and other VMs need them. */
    void stop() {
        budget.stop();
    }

    /** Closes idle connections beyond the guaranteed share for a while, because another VM lacks connections. */
    void releaseSurplus() {
        budget.limitToGuaranteed(nowMillis());
    }

    private Stream<PooledConnection> direct() {
        return connections.stream().filter(PooledConnection::direct);
    }

    private int directCount() {
        return (int) direct().count();
    }

    /** Whether this VM borrows connections to the endpoint from another VM. */
    private boolean isBorrower() {
        return budget.scarce() && leases.role(endpoint) == LeaseRole.BORROWER;
    }

    private int targetSize(long now) {
        return budget.targetSize(leases.role(endpoint) == LeaseRole.LENDER, now);
    }

    private void assignIdle() {
        for (ConnectionRequest request : waiting.all()) {
            Option<PooledConnection> idle = Option.ofOptional(connections.stream()
                    .filter(c -> c.idle() && c.serves(request))
                    .max(Comparator.comparingLong(PooledConnection::stateSinceMillis)));
            idle.filter(connection -> waiting.contains(request)).forEach(connection -> assign(request, connection));
        }
    }

    private void assign(ConnectionRequest request, PooledConnection connection) {
        long waitedMillis = waiting.remove(request, nowMillis()).getOrElse(0L);
        boolean pinned = request.pinnedTo().isDefined();
        Option<LogPosition> floor = request.primaryOnly() || pinned ? Option.none() : callbacks.readFloor(request);
        if (floor.isEmpty() && !pinned && !callbacks.isPrimary(endpoint.id())) {
            callbacks.requeue(request);
            return;
        }
        counters.recordAssigned(waitedMillis);
        connection.markInUse();
        if (!GuardedTaskUtils.run("assign", () -> request.assigned(connection, floor))) {
            connection.discard();
        }
    }

    private void openMissing() {
        long now = nowMillis();
        Map<Demand, Integer> demand = new HashMap<>();
        for (ConnectionRequest request : waiting.all()) {
            boolean pinned = request.pinnedTo().isDefined();
            int missing = demand.merge(new Demand(request.account().name(), pinned), 1, Integer::sum);
            long opening = connections.stream()
                    .filter(c -> c.opening() && c.serves(request))
                    .count();
            if (opening < missing && !tryBorrow(request, now) && budget.mayOpen(now) && makeRoom(now)) {
                open(request.account(), now);
            }
        }
    }

    private boolean tryBorrow(ConnectionRequest request, long now) {
        if (request.pinnedTo().isDefined() || !isBorrower()) {
            return false;
        }
        PooledConnection connection = new PooledConnection(this, request.account(), now);
        Option<BorrowedLink> borrowed = leases.borrow(
                endpoint, request.account(), request.priority(), request.assignmentDeadlineMillis() - now, connection);
        borrowed.forEach(link -> {
            connections.add(connection);
            connection.attach(link);
        });
        return borrowed.isDefined();
    }

    /** Returns idle borrowed connections and cancels lease requests that no waiting request needs. */
    private void returnUnusedLeases() {
        if (directCount() == connections.size()) {
            return;
        }
        Map<String, Long> needed = waiting.all().stream()
                .filter(request -> request.pinnedTo().isEmpty())
                .collect(Collectors.groupingBy(
                        request -> request.account().name(), HashMap::new, Collectors.counting()));
        for (PooledConnection connection : List.copyOf(connections)) {
            boolean surplus =
                    connection.opening() && needed.merge(connection.account().name(), -1L, Long::sum) < 0;
            if (!connection.direct() && (connection.idle() || surplus)) {
                connection.discard();
            }
        }
    }

    private void refuseLast(Account account) {
        List<ConnectionRequest> ofAccount = waiting.all().stream()
                .filter(request ->
                        request.pinnedTo().isEmpty() && request.account().name().equals(account.name()))
                .toList();
        if (!ofAccount.isEmpty()) {
            ConnectionRequest last = ofAccount.get(ofAccount.size() - 1);
            waiting.remove(last, nowMillis());
            last.refused(ErrorCode.OVERLOADED, "more waits for endpoint " + endpoint.id() + " than it can serve");
        }
    }

    /** Makes room for one more connection, if necessary by closing the longest idle one; false if there is no room. */
    private boolean makeRoom(long now) {
        if (directCount() < targetSize(now)) {
            return true;
        }
        Option<PooledConnection> oldest = Option.ofOptional(direct().filter(PooledConnection::idle)
                .min(Comparator.comparingLong(PooledConnection::stateSinceMillis)));
        if (oldest.isDefined()) {
            oldest.get().discard();
            counters.recordEvicted();
            return true;
        }
        return directCount() < budget.maxSize(now);
    }

    /** Opens a connection to check whether the endpoint accepts any, unless one is already being opened. */
    private void probe(long now) {
        boolean opening = direct().anyMatch(PooledConnection::opening);
        if (!opening && budget.mayOpen(now)) {
            open(lastOpenedAccount, now);
        }
    }

    private void open(Account account, long now) {
        lastOpenedAccount = account;
        budget.recordOpening(now);
        PooledConnection connection = new PooledConnection(this, account, now);
        connections.add(connection);
        connection.attach(connector.open(endpoint, account, connection));
    }

    private void checkLastContact(long now) {
        Option<Long> since = Option.ofOptional(
                direct().flatMap(c -> c.unansweredSinceMillis().toJavaStream()).min(Comparator.naturalOrder()));
        long silentMillis =
                since.map(from -> now - Math.max(from, lastContactMillis)).getOrElse(0L);
        if (silentMillis > PROBE_AFTER_MILLIS && now - lastProbeMillis > PROBE_AFTER_MILLIS) {
            lastProbeMillis = now;
            sampler.sample();
        }
        if (silentMillis > SUSPECT_MILLIS) {
            suspect = true;
            requeueWaiting();
        }
        if (silentMillis > UNREACHABLE_AFTER_MILLIS) {
            markUnreachable("silent");
            direct().filter(c -> c.opening() && now - c.stateSinceMillis() > UNREACHABLE_AFTER_MILLIS)
                    .toList()
                    .forEach(PooledConnection::discard);
        }
    }

    private void discardSilent(long now) {
        List<PooledConnection> silent = silentConnections.check(direct().toList(), lastContactMillis, now);
        if (!silent.isEmpty()) {
            LOG.warn(
                    "event=connections_silent endpoint={} group={} discarded={} kept={}",
                    endpoint.id(),
                    endpoint.group(),
                    silent.size(),
                    directCount() - silent.size());
            silent.forEach(PooledConnection::discard);
        }
    }

    private void closeExpiredIdle(long now) {
        int targetSize = targetSize(now);
        for (PooledConnection connection : direct().toList()) {
            boolean surplus = directCount() > targetSize;
            long timeoutMillis = surplus ? SURPLUS_IDLE_TIMEOUT_MILLIS : IDLE_TIMEOUT_MILLIS;
            if (connection.idle() && now - connection.stateSinceMillis() > timeoutMillis) {
                connection.discard();
            }
        }
    }

    private void markReachable() {
        if (!reachable) {
            reachable = true;
            LOG.info("event=endpoint_reachable endpoint={} group={}", endpoint.id(), endpoint.group());
            callbacks.reachabilityChanged(endpoint.id(), true);
        }
    }

    private void markUnreachable(String cause) {
        if (reachable) {
            reachable = false;
            LOG.warn(
                    "event=endpoint_unreachable endpoint={} group={} cause={} last_heard_age_ms={}",
                    endpoint.id(),
                    endpoint.group(),
                    cause,
                    nowMillis() - lastContactMillis);
            sampler.notifyUnreachable();
            callbacks.reachabilityChanged(endpoint.id(), false);
            requeueWaiting();
        }
    }

    /** The connections needed by waiting requests: their client account, and whether they must be direct. */
    private record Demand(String account, boolean direct) {}

    private final class LenderPositionListener implements PositionListener {

        private final long askedAtMillis;

        LenderPositionListener(long askedAtMillis) {
            this.askedAtMillis = askedAtMillis;
        }

        @Override
        public void primaryConfirmed(LogPosition position) {
            callbacks.primaryConfirmed(endpoint.id(), askedAtMillis, position);
        }

        @Override
        public void notPrimary() {
            callbacks.notPrimary(endpoint.id());
        }

        @Override
        public void unreachable() {
            markUnreachable("lender_does_not_reach_it");
        }
    }
}
