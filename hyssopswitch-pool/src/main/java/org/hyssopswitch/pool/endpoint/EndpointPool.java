package org.hyssopswitch.pool.endpoint;

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

/**
 * The connections of this VM to one endpoint and the work that waits for them.
 *
 * <p>A connection serves one client account. The VM keeps a number of connections and gives an unused one up for another
 * account first; beyond that number, connections are opened only while all are lent, and closed soon after their use, so
 * that other VMs find room. Where an endpoint accepts too few connections for all VMs, one VM lends them to the others.
 */
final class EndpointPool {

    /** Time for which an unused connection beyond those that are kept stays open, milliseconds. */
    private static final long SURPLUS_IDLE_TIMEOUT_MILLIS = 100;

    /** Time for which an unused connection stays open, milliseconds; endpoints close idle ones after a minute. */
    private static final long IDLE_TIMEOUT_MILLIS = 40_000;

    /** Silence with an unanswered question after which an endpoint counts as unreachable, milliseconds. */
    private static final long UNREACHABLE_AFTER_MILLIS = 500;

    /** Silence after which the endpoint is asked for a sign of life, milliseconds. */
    private static final long PROBE_AFTER_MILLIS = 150;

    /** Silence after which no new work is given to the endpoint, milliseconds. */
    private static final long SUSPECT_MILLIS = 300;

    /** Time after the announcement of its stop until which an endpoint may get work, milliseconds. */
    private static final long DRAINING_USABLE_MILLIS = 5_500;

    /** Part of an opening's time that counts against an endpoint: the connection serves later statements too. */
    private static final double OPEN_TIME_WEIGHT = 0.3;

    /** Part of an endpoint's remaining cold time that counts against it. */
    private static final double COLD_TIME_WEIGHT = 0.01;

    private static final Logger LOG = LogManager.getLogger(EndpointPool.class);

    private final EndpointConnector connector;
    private final LeaseSource leases;
    private final PoolCallbacks callbacks;
    private final LongSupplier clock;
    private final List<PooledConnection> connections = new ArrayList<>();
    private final ConnectionRequestQueue waiting = new ConnectionRequestQueue();
    private final PoolCounters counters = new PoolCounters();
    private final LatencyEstimates estimates = new LatencyEstimates();
    private final ConnectionBudget budget;
    private final PrimarySampler sampler;
    private Endpoint endpoint;
    private long lastProbeMillis;
    private boolean suspect;
    private long suspectUntilMillis;
    private Option<Long> drainingSinceMillis = Option.none();
    private long lastContactMillis;
    private boolean reachable = true;
    private boolean dispatching;
    private Account lastOpenedAccount = Account.ANONYMOUS;

    EndpointPool(Endpoint endpoint, PoolLimits limits, GroupContext context, PoolCallbacks callbacks) {
        this.endpoint = endpoint;
        this.budget = new ConnectionBudget(limits);
        this.connector = context.connector();
        this.leases = context.leases();
        this.callbacks = callbacks;
        this.clock = context.clock();
        this.sampler = new PrimarySampler(this);
        this.lastContactMillis = clock.getAsLong();
        this.suspectUntilMillis = lastContactMillis;
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

    /** Takes a changed entry; connections to an earlier process are closed. */
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

    /** Whether new work may be given to the endpoint. */
    boolean usable() {
        return reachable
                && !isSuspect()
                && !drainingSinceMillis.exists(since -> nowMillis() - since > DRAINING_USABLE_MILLIS);
    }

    /** Whether the endpoint has been silent for a while. */
    boolean isSuspect() {
        return suspect || nowMillis() < suspectUntilMillis;
    }

    /** Expected milliseconds until a new statement of an account would be answered. */
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
        waiting.add(request, nowMillis());
        dispatch();
    }

    /** Queues work of another VM, for which connections are kept from now on. */
    void lend(ConnectionRequest request) {
        budget.recordLending(nowMillis());
        offer(request);
    }

    /** Opens a connection that work of an account is about to need, unless one is at hand or on its way. */
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

    /** Takes back all work that waits. */
    List<ConnectionRequest> drainWaiting() {
        return waiting.drain();
    }

    /** Logs what happened since the last report. */
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

    /** Closes connections that are not lent. */
    void closeIdle() {
        connections.stream().filter(PooledConnection::idle).toList().forEach(PooledConnection::discard);
    }

    void tick() {
        long now = nowMillis();
        waiting.removeExpired(now)
                .forEach(request -> request.refused(
                        ErrorCode.OVERLOADED, "no connection to " + endpoint.id() + " became free in time"));
        checkLastContact(now);
        closeExpiredIdle(now);
        if (!reachable) {
            probe(now);
        }
        sampler.tick();
        dispatch();
    }

    /** Asks whether the endpoint is the primary and for its position. */
    void samplePrimary() {
        if (!isBorrower() || !leases.queryPosition(endpoint, new LenderPositionListener(nowMillis()))) {
            sampler.sample();
        }
    }

    /** Answers another VM's question whether the endpoint is the primary. */
    void queryPosition(PositionListener listener) {
        sampler.query(listener);
    }

    /** A connection that is not lent and leads straight to the endpoint; one is opened when there is none. */
    Option<PooledConnection> findIdleOrOpen() {
        Option<PooledConnection> idle =
                Option.ofOptional(direct().filter(PooledConnection::idle).findFirst());
        if (idle.isEmpty()) {
            probe(nowMillis());
        }
        return idle;
    }

    /** Assigns connections to waiting work and opens what is missing. */
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

    /** This VM did not run for a while, so the silence of endpoints says nothing. */
    void resetLastContact() {
        lastContactMillis = nowMillis();
    }

    void recordOpened(long millis) {
        counters.recordOpened(millis);
        estimates.recordOpen(millis);
    }

    void recordLeased(long millis) {
        counters.recordLeased(millis);
        estimates.recordLease(millis, nowMillis());
    }

    void recordServiceTime(long millis) {
        estimates.recordService(millis);
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
            // A crash breaks all connections; a new one tells it from the loss of single ones.
            probe(nowMillis());
        }
    }

    /** A connection of another VM was not lent, or no longer. */
    void leaseEnded(Account account, boolean opening, LeaseEndReason reason) {
        switch (reason) {
            case OVERLOADED -> {
                if (opening) {
                    refuseLast(account);
                }
            }
            case SUSPECT -> {
                suspectUntilMillis = nowMillis() + SUSPECT_MILLIS;
                drainWaiting().forEach(callbacks::requeue);
            }
            case UNREACHABLE -> markUnreachable("lender_does_not_reach_it");
            default -> dispatch();
        }
    }

    /** Sends a command of the VM's own; the answer is missing when no connection is available in time. */
    void sendControl(EndpointCommand command, long maxWaitMillis, Consumer<Option<Reply>> callback) {
        offer(new ControlCommandRequest(
                endpoint.id(), command, lastOpenedAccount, nowMillis() + maxWaitMillis, callback));
    }

    /** Closes connections as soon as they are unused, for the VMs that take over. */
    void stop() {
        budget.stop();
    }

    /** Closes what this VM holds beyond its guaranteed share and does not use. */
    void releaseSurplus() {
        budget.limitToGuaranteed(nowMillis());
    }

    private Stream<PooledConnection> direct() {
        return connections.stream().filter(PooledConnection::direct);
    }

    private int directCount() {
        return (int) direct().count();
    }

    /** Whether this VM borrows connections to the endpoint from another one. */
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
        long waitedMillis = waiting.remove(request, nowMillis());
        boolean pinned = request.pinnedTo().isDefined();
        Option<LogPosition> floor = request.primaryOnly() || pinned ? Option.none() : callbacks.readFloor(request);
        if (floor.isEmpty() && !pinned && !callbacks.isPrimary(endpoint.id())) {
            callbacks.requeue(request);
            return;
        }
        counters.recordAssigned(waitedMillis);
        connection.markLent();
        request.assigned(connection, floor);
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
        Option<BorrowedLink> lent = leases.borrow(
                endpoint, request.account(), request.priority(), request.assignmentDeadlineMillis() - now, connection);
        lent.forEach(link -> {
            connections.add(connection);
            connection.attach(link);
        });
        return lent.isDefined();
    }

    /** Returns borrowed connections that are not in use, and gives up requests that no work waits for. */
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

    /** Makes room for one more connection, if need be by closing an unused one of another account. */
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

    /** Finds out whether the endpoint accepts connections. */
    private void probe(long now) {
        boolean opening = direct().anyMatch(PooledConnection::opening);
        if (!opening && budget.mayOpen(now)) {
            open(lastOpenedAccount, now);
        }
    }

    private void open(Account account, long now) {
        lastOpenedAccount = account;
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
            drainWaiting().forEach(callbacks::requeue);
        }
        if (silentMillis > UNREACHABLE_AFTER_MILLIS) {
            markUnreachable("silent");
            direct().filter(c -> c.opening() && now - c.stateSinceMillis() > UNREACHABLE_AFTER_MILLIS)
                    .toList()
                    .forEach(PooledConnection::discard);
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
            drainWaiting().forEach(callbacks::requeue);
        }
    }

    /** Connections that work needs: of which client account, and whether they must lead straight to the endpoint. */
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
