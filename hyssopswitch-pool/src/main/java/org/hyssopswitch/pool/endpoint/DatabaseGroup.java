package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.catalog.GroupDeclaration;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.proxy.net.GuardedTaskUtils;

/** The endpoints of one database group as seen by this VM; selects the endpoint for each connection request. */
public final class DatabaseGroup implements PoolCallbacks {

    /** Cost of serving a request in another data centre, in milliseconds of waiting time. */
    private static final double REMOTE_PENALTY_MILLIS = 8;

    /** Cost of reading at the primary, which is kept free for writes, in milliseconds of waiting time. */
    private static final double PRIMARY_READ_PENALTY_MILLIS = 6;

    /** Part of the accepted staleness that is reserved for forwarding and the endpoint's queue, milliseconds. */
    private static final long STALENESS_MARGIN_MILLIS = 250;

    /** Age of the latest sample of the primary's log position after which a new one is requested, milliseconds. */
    private static final long SAMPLE_INTERVAL_MILLIS = 400;

    /** The same where a lender samples for many VMs, milliseconds; below 1.5 s, the lowest staleness seen on routes. */
    private static final long SHARED_SAMPLE_INTERVAL_MILLIS = 900;

    /** Time after the last read for which the log position of the primary is sampled, milliseconds. */
    private static final long SAMPLING_AFTER_READ_MILLIS = 3_000;

    /** Time between two ticks above which this VM is considered to have been paused, milliseconds. */
    private static final long PAUSE_THRESHOLD_MILLIS = 200;

    /** Interval at which endpoints are queried for the primary role while no primary is usable, milliseconds. */
    private static final long PRIMARY_SEARCH_INTERVAL_MILLIS = 150;

    /** The same where lenders are queried, milliseconds. */
    private static final long SHARED_PRIMARY_SEARCH_INTERVAL_MILLIS = 400;

    /** Interval at which the use of connections is logged, milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 10_000;

    private static final Logger LOG = LogManager.getLogger(DatabaseGroup.class);

    private final String dataCentre;
    private final GroupContext context;
    private final StatusDecoder decoder;
    private final BiConsumer<String, String> shortageListener;
    private final LongSupplier clock;
    private final Map<String, EndpointPool> pools = new HashMap<>();
    private final SuspensionDetector suspensions;
    private final PositionSamples samples = new PositionSamples();
    private final WaitingPlaces places = new WaitingPlaces();
    private final ConnectionRequestQueue waitingForPrimary = new ConnectionRequestQueue(places);
    private GroupDeclaration group;
    private int vmCount;
    private int accountCount;
    private boolean stopping;
    private Option<String> primaryId = Option.none();
    private StorePosition lastPrimaryPosition = StorePosition.NONE;
    private long lastReadMillis = Long.MIN_VALUE / 2;
    private long lastReportMillis;
    private long lastTickMillis;
    private long lastUsablePrimaryMillis;
    private long lastSearchMillis;
    private long lastSampleMillis = Long.MIN_VALUE / 2;

    DatabaseGroup(GroupDeclaration group, GroupContext context) {
        this.group = group;
        this.vmCount = 1;
        this.dataCentre = context.dataCentre();
        this.context = context;
        this.decoder = context.decoder();
        this.shortageListener = context.shortageListener();
        this.clock = context.clock();
        this.suspensions = new SuspensionDetector(context.clock(), context.wallClock());
        this.lastReportMillis = clock.getAsLong();
        this.lastTickMillis = lastReportMillis;
        this.lastUsablePrimaryMillis = lastReportMillis;
        this.lastSearchMillis = lastReportMillis;
    }

    /** Returns the name of the group. */
    public String name() {
        return group.name();
    }

    /** Returns the declaration of the group. */
    public GroupDeclaration declaration() {
        return group;
    }

    /** Returns the endpoint that is considered the primary. */
    public Option<Endpoint> primary() {
        return primaryId.flatMap(id -> Option.of(pools.get(id))).map(EndpointPool::endpoint);
    }

    /** Returns the listed endpoints. */
    public List<Endpoint> endpoints() {
        return pools.values().stream().map(EndpointPool::endpoint).toList();
    }

    /**
     * Whether an endpoint is reachable from this VM.
     *
     * @param endpointId the endpoint
     */
    public boolean isReachable(String endpointId) {
        EndpointPool pool = pools.get(endpointId);
        return pool != null && pool.reachable();
    }

    /** Returns the latest term confirmed by a primary; -1 before the first confirmation. */
    public long term() {
        return samples.term();
    }

    /**
     * Queues a request at the selected endpoint, or until a primary is available, or refuses it.
     *
     * @param request the request
     */
    public void submit(ConnectionRequest request) {
        if (request.pinnedTo().isDefined()) {
            submitPinned(request);
            return;
        }
        if (!request.primaryOnly()) {
            lastReadMillis = clock.getAsLong();
        }
        Option<EndpointPool> pool = request.primaryOnly() ? primaryPool() : selectReadPool(request);
        if (pool.isDefined()) {
            pool.get().offer(request);
        } else {
            enqueueUntilPrimary(request);
        }
    }

    /**
     * Queues the request of another VM that borrows a connection.
     *
     * @param endpointId the endpoint
     * @param request the request, pinned to the endpoint
     * @return the reason if no connection can be lent
     */
    public Option<LeaseEndReason> lend(String endpointId, ConnectionRequest request) {
        Option<LeaseEndReason> refusal = refusal(endpointId);
        if (refusal.isEmpty()) {
            pools.get(endpointId).lend(request);
        }
        return refusal;
    }

    /**
     * Returns the reason if no connection to an endpoint can be lent.
     *
     * @param endpointId the endpoint
     */
    public Option<LeaseEndReason> refusal(String endpointId) {
        EndpointPool pool = pools.get(endpointId);
        if (pool == null) {
            return Option.some(LeaseEndReason.NO_LENDER);
        }
        if (!pool.reachable()) {
            return Option.some(LeaseEndReason.UNREACHABLE);
        }
        return pool.isSuspect() ? Option.some(LeaseEndReason.SUSPECT) : Option.none();
    }

    /**
     * Queries, on behalf of another VM, whether an endpoint is the primary.
     *
     * @param endpointId the endpoint
     * @param listener notified of the answer, if there is one
     */
    public void queryPosition(String endpointId, PositionListener listener) {
        Option<EndpointPool> pool = Option.of(pools.get(endpointId));
        if (pool.exists(EndpointPool::reachable)) {
            pool.get().queryPosition(listener);
        } else if (pool.isDefined()) {
            listener.unreachable();
        }
    }

    /**
     * Queries the replication status of an endpoint.
     *
     * @param endpointId the endpoint
     * @param maxWaitMillis maximum time to wait for a connection, milliseconds
     * @param callback receives the status, or nothing if the endpoint returned none
     */
    public void queryStatus(String endpointId, long maxWaitMillis, Consumer<Option<ReplicationStatus>> callback) {
        sendControl(endpointId, new EndpointCommand.QueryStatus(), maxWaitMillis, callback);
    }

    /**
     * Sends a command that reports the status to a process of the group that may no longer be listed.
     *
     * @param process the process, with its last known address
     * @param command the command
     * @param callback receives one result
     * @return the running command
     */
    public EndpointProbe probe(Endpoint process, EndpointCommand command, Consumer<ProbeResult> callback) {
        return EndpointProbe.start(process, command, context, callback);
    }

    /**
     * Opens a connection over which the replication status of an endpoint is queried again and again.
     *
     * @param endpoint the endpoint
     * @param statuses receives the statuses
     */
    public EndpointStatusFeed feedStatus(Endpoint endpoint, Consumer<ReplicationStatus> statuses) {
        return EndpointStatusFeed.start(endpoint, context, statuses);
    }

    /**
     * Asks an endpoint whether it is the primary. If it is, it becomes the primary that this VM uses.
     *
     * @param endpointId the endpoint
     */
    public void samplePrimary(String endpointId) {
        Option.of(pools.get(endpointId)).forEach(EndpointPool::samplePrimary);
    }

    /**
     * Sends a command that reports the replication status to an endpoint.
     *
     * @param endpointId the endpoint
     * @param command the command
     * @param maxWaitMillis maximum time to wait for a connection, milliseconds
     * @param callback receives the status afterwards, or nothing if the endpoint returned none
     */
    public void sendControl(
            String endpointId,
            EndpointCommand command,
            long maxWaitMillis,
            Consumer<Option<ReplicationStatus>> callback) {
        Option.of(pools.get(endpointId))
                .peek(pool -> pool.sendControl(
                        command,
                        maxWaitMillis,
                        reply -> callback.accept(reply.filter(Reply::succeeded)
                                .flatMap(answer ->
                                        Option.ofOptional(answer.rows().stream().findFirst()))
                                .flatMap(decoder::decode))))
                .onEmpty(() -> callback.accept(Option.none()));
    }

    /**
     * Closes connections to an endpoint beyond this VM's guaranteed share as soon as they are idle.
     *
     * @param endpointId the endpoint
     */
    public void releaseSurplusConnections(String endpointId) {
        Option.of(pools.get(endpointId)).forEach(EndpointPool::releaseSurplus);
    }

    /**
     * Opens a connection for an expected request, at the endpoint that would be selected for it now.
     *
     * @param request the expected request; it is not submitted
     * @param evict whether an idle connection of another account may be closed for it
     */
    public void prefetch(ConnectionRequest request, boolean evict) {
        Option<EndpointPool> pool = request.primaryOnly() ? primaryPool() : selectReadPool(request);
        pool.forEach(target -> target.prefetch(request.account(), evict));
    }

    @Override
    public void connectionShortage(String endpointId) {
        shortageListener.accept(name(), endpointId);
    }

    @Override
    public void primaryConfirmed(String endpointId, long askedMillis, LogPosition position) {
        discardSamplesAfterSuspension();
        boolean newer = position.term() > samples.term();
        if (position.term() >= samples.term()) {
            samples.add(askedMillis, position);
            if (newer || !primaryId.contains(endpointId)) {
                setPrimary(endpointId, "proof");
            }
        }
    }

    @Override
    public void notPrimary(String endpointId) {
        if (primaryId.contains(endpointId)) {
            LOG.info("event=primary_lost group={} endpoint={} cause=read_only term={}", name(), endpointId, term());
            primaryId = Option.none();
            Option.of(pools.get(endpointId))
                    .forEach(pool -> lastPrimaryPosition =
                            lastPrimaryPosition.max(pool.endpoint().position()));
            listedPrimary().forEach(listed -> setPrimary(listed.id(), "listed"));
            Option.of(pools.get(endpointId)).forEach(EndpointPool::requeueWaiting);
        }
    }

    @Override
    public void reachabilityChanged(String endpointId, boolean reachable) {
        if (reachable && primaryId.contains(endpointId)) {
            resubmitWaiting();
        }
    }

    @Override
    public boolean isPrimary(String endpointId) {
        return primaryId.contains(endpointId);
    }

    @Override
    public Option<LogPosition> readFloor(ConnectionRequest request) {
        discardSamplesAfterSuspension();
        long staleness = Math.max(0, request.stalenessMillis() - STALENESS_MARGIN_MILLIS);
        return samples.floor(clock.getAsLong(), staleness)
                .map(floor -> floor.max(samples.toLatestTerm(request.sessionFloor())));
    }

    @Override
    public void requeue(ConnectionRequest request) {
        if (!GuardedTaskUtils.run("requeue", () -> submit(request))) {
            places.withdraw(request);
            String reason = "internal error in group " + name();
            GuardedTaskUtils.run("refuse", () -> request.refused(ErrorCode.OVERLOADED, reason));
        }
    }

    void update(GroupDeclaration declared, SharerCounts sharers, Collection<Endpoint> listed) {
        group = declared;
        vmCount = sharers.vms();
        accountCount = sharers.accounts();
        if (pools.isEmpty() && scarce()) {
            // Samples at the start open the lenders' first connections before callers need them.
            lastReadMillis = clock.getAsLong();
        }
        Map<String, Endpoint> byId = new HashMap<>();
        listed.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
        byId.values().forEach(endpoint -> {
            PoolLimits limits = limits(endpoint, byId.values());
            EndpointPool pool = pools.computeIfAbsent(
                    endpoint.id(), id -> new EndpointPool(endpoint, limits, context, this, places));
            pool.update(endpoint, limits);
            if (stopping) {
                pool.stop();
            }
        });
        for (String id : List.copyOf(pools.keySet())) {
            if (!byId.containsKey(id)) {
                removeEndpoint(id);
            }
        }
        listedPrimary().forEach(endpoint -> setPrimary(endpoint.id(), "listed"));
    }

    void tick() {
        long now = clock.getAsLong();
        if (now - lastTickMillis > PAUSE_THRESHOLD_MILLIS) {
            pools.values().forEach(EndpointPool::resetLastContact);
        }
        lastTickMillis = now;
        GuardedTaskUtils.forEach("pool_tick", pools.values(), EndpointPool::tick);
        if (primaryPool().isDefined()) {
            lastUsablePrimaryMillis = now;
        } else {
            findPrimary(now);
        }
        GuardedTaskUtils.forEach("refuse_expired", waitingForPrimary.removeExpired(now), this::refuseWithoutPrimary);
        if (now - lastReportMillis >= REPORT_INTERVAL_MILLIS) {
            lastReportMillis = now;
            pools.values().forEach(EndpointPool::report);
        }
        boolean recentReads = now - lastReadMillis < SAMPLING_AFTER_READ_MILLIS;
        long intervalMillis = scarce() ? SHARED_SAMPLE_INTERVAL_MILLIS : SAMPLE_INTERVAL_MILLIS;
        boolean outdated = now - samples.latestAskedMillis().getOrElse(lastSampleMillis) > intervalMillis;
        if (recentReads && outdated && now - lastSampleMillis > intervalMillis) {
            lastSampleMillis = now;
            primaryPool().forEach(EndpointPool::samplePrimary);
        }
    }

    /** Discards the samples after a suspension, because their ages are no longer known. */
    private void discardSamplesAfterSuspension() {
        if (suspensions.detectSuspension()) {
            LOG.warn("event=positions_forgotten group={} cause=suspension_or_clock_step term={}", name(), term());
            samples.discardSamples(clock.getAsLong());
        }
    }

    /** Keeps no idle connections from now on. */
    void stop() {
        stopping = true;
        pools.values().forEach(EndpointPool::stop);
    }

    /** Queries all other endpoints for the primary role, because the store may be unreachable or out of date. */
    private void findPrimary(long now) {
        if (now - lastSearchMillis
                >= (scarce() ? SHARED_PRIMARY_SEARCH_INTERVAL_MILLIS : PRIMARY_SEARCH_INTERVAL_MILLIS)) {
            lastSearchMillis = now;
            pools.values().stream()
                    .filter(pool ->
                            pool.reachable() && !isPrimary(pool.endpoint().id()))
                    .toList()
                    .forEach(EndpointPool::samplePrimary);
        }
    }

    /** Whether connections are too few for all VMs, so that endpoints are queried through lenders. */
    boolean scarce() {
        return PoolLimits.of(group.maxConnections(), vmCount, 0, accountCount).scarce();
    }

    private PoolLimits limits(Endpoint endpoint, Collection<Endpoint> all) {
        long dataCentres = all.stream().map(Endpoint::dataCentre).distinct().count();
        boolean local = !endpoint.primary() && endpoint.dataCentre().equals(dataCentre);
        int localVms = local ? (int) Math.max(1, (vmCount + dataCentres - 1) / dataCentres) : 0;
        return PoolLimits.of(group.maxConnections(), vmCount, localVms, accountCount);
    }

    private void submitPinned(ConnectionRequest request) {
        String endpointId = request.pinnedTo().get();
        if (refusal(endpointId).isEmpty()) {
            pools.get(endpointId).offer(request);
        } else {
            request.refused(ErrorCode.OVERLOADED, "endpoint " + endpointId + " does not answer");
        }
    }

    private void removeEndpoint(String id) {
        EndpointPool pool = pools.remove(id);
        LOG.info("event=endpoint_removed group={} endpoint={}", name(), id);
        if (primaryId.contains(id)) {
            primaryId = Option.none();
        }
        pool.closeIdle();
        pool.requeueWaiting();
    }

    /** Returns the entry that claimed last to be the primary, unless the claim is older than one already evaluated. */
    private Option<Endpoint> listedPrimary() {
        return Option.ofOptional(pools.values().stream()
                .map(EndpointPool::endpoint)
                .filter(endpoint -> endpoint.primary() && endpoint.position().compareTo(lastPrimaryPosition) > 0)
                .max(Comparator.comparing(Endpoint::position)));
    }

    private void setPrimary(String endpointId, String cause) {
        EndpointPool pool = pools.get(endpointId);
        if (pool == null) {
            return;
        }
        lastPrimaryPosition = lastPrimaryPosition.max(pool.endpoint().position());
        if (!primaryId.contains(endpointId)) {
            Option<EndpointPool> previous = primaryPool();
            LOG.info(
                    "event=primary_changed group={} from={} to={} cause={} term={}",
                    name(),
                    primaryId.getOrElse("none"),
                    endpointId,
                    cause,
                    term());
            primaryId = Option.some(endpointId);
            previous.forEach(EndpointPool::requeueWaiting);
        }
        resubmitWaiting();
    }

    private void resubmitWaiting() {
        waitingForPrimary.drain().forEach(this::requeue);
    }

    private Option<EndpointPool> primaryPool() {
        return primaryId.flatMap(id -> Option.of(pools.get(id))).filter(EndpointPool::usable);
    }

    private Option<EndpointPool> selectReadPool(ConnectionRequest request) {
        boolean floorKnown = readFloor(request).isDefined();
        Option<EndpointPool> best = Option.ofOptional(readCandidates(request)
                .filter(pool -> floorKnown || isPrimary(pool.endpoint().id()))
                .min(Comparator.comparingDouble(pool -> cost(pool, request))));
        return best.orElse(this::primaryPool);
    }

    private Stream<EndpointPool> readCandidates(ConnectionRequest request) {
        boolean anyActive = pools.values().stream()
                .anyMatch(pool -> pool.usable() && !pool.endpoint().draining());
        return pools.values().stream()
                .filter(pool -> pool.usable()
                        && !request.excludes(pool.endpoint().id())
                        && !(anyActive && pool.endpoint().draining()));
    }

    private double cost(EndpointPool pool, ConnectionRequest request) {
        boolean remote = !pool.endpoint().dataCentre().equals(dataCentre);
        boolean primary = isPrimary(pool.endpoint().id());
        return pool.expectedMillis(request.account())
                + (remote ? REMOTE_PENALTY_MILLIS : 0)
                + (primary ? PRIMARY_READ_PENALTY_MILLIS : 0);
    }

    private void enqueueUntilPrimary(ConnectionRequest request) {
        long until =
                Math.min(lastUsablePrimaryMillis + request.unavailableWaitMillis(), request.assignmentDeadlineMillis());
        if (clock.getAsLong() >= until) {
            refuseWithoutPrimary(request);
        } else {
            waitingForPrimary.add(request, until, clock.getAsLong());
        }
    }

    private void refuseWithoutPrimary(ConnectionRequest request) {
        request.refused(ErrorCode.OVERLOADED, "group " + name() + " has no reachable primary");
    }
}
