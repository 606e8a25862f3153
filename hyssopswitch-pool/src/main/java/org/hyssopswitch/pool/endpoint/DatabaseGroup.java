package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.catalog.GroupDeclaration;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** The endpoints of one database group as this VM sees them; chooses the endpoint for each statement. */
public final class DatabaseGroup implements PoolCallbacks {

    /** Cost of a byte-carrying hop to another data centre, as milliseconds of waiting. */
    private static final double REMOTE_PENALTY_MILLIS = 8;

    /** Preference of replicas for reads, which keeps the primary free for writes, as milliseconds of waiting. */
    private static final double PRIMARY_READ_PENALTY_MILLIS = 6;

    /** Milliseconds by which a floor is taken younger than permitted: forwarding and the endpoint's queue. */
    private static final long STALENESS_MARGIN_MILLIS = 250;

    /** Age of the latest position of the primary from which on a new one is asked for, milliseconds. */
    private static final long SAMPLE_INTERVAL_MILLIS = 400;

    /** The same where a lender asks for many VMs, milliseconds: within the least accepted age seen on routes, 1.5 s. */
    private static final long SHARED_SAMPLE_INTERVAL_MILLIS = 900;

    /** Time for which reads keep the positions of the primary up to date, milliseconds. */
    private static final long SAMPLING_AFTER_READ_MILLIS = 3_000;

    /** Time between two ticks from which on this VM counts as having been paused, milliseconds. */
    private static final long PAUSE_THRESHOLD_MILLIS = 200;

    /** Period in which endpoints are asked for the primary while none is usable, milliseconds. */
    private static final long PRIMARY_SEARCH_INTERVAL_MILLIS = 150;

    /** The same where lenders are asked, milliseconds. */
    private static final long SHARED_PRIMARY_SEARCH_INTERVAL_MILLIS = 400;

    /** Period in which the use of connections is logged, milliseconds. */
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
    private final Map<ConnectionRequest, Long> waitingForPrimary = new LinkedHashMap<>();
    private GroupDeclaration group;
    private int vmCount;
    private int accountCount;
    private boolean stopping;
    private Option<String> primaryId = Option.none();
    private long lastPrimaryRevision = -1;
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

    /** Name of the group. */
    public String name() {
        return group.name();
    }

    /** Its declaration. */
    public GroupDeclaration declaration() {
        return group;
    }

    /** The endpoint taken for the primary. */
    public Option<Endpoint> primary() {
        return primaryId.flatMap(id -> Option.of(pools.get(id))).map(EndpointPool::endpoint);
    }

    /** The listed endpoints. */
    public List<Endpoint> endpoints() {
        return pools.values().stream().map(EndpointPool::endpoint).toList();
    }

    /**
     * Whether this VM reaches an endpoint.
     *
     * @param endpointId the endpoint
     */
    public boolean isReachable(String endpointId) {
        EndpointPool pool = pools.get(endpointId);
        return pool != null && pool.reachable();
    }

    /** The latest term that a primary has proven; -1 before the first proof. */
    public long term() {
        return samples.term();
    }

    /**
     * Has a statement or transaction run, or refuses it.
     *
     * @param request the work
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
     * Queues work of another VM for a connection that it borrows.
     *
     * @param endpointId the endpoint
     * @param request the work, pinned to the endpoint
     * @return why no connection can be lent, or nothing
     */
    public Option<LeaseEndReason> lend(String endpointId, ConnectionRequest request) {
        Option<LeaseEndReason> refusal = refusal(endpointId);
        if (refusal.isEmpty()) {
            pools.get(endpointId).lend(request);
        }
        return refusal;
    }

    /**
     * Why no connection to an endpoint can be lent; nothing when one can.
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
     * Asks an endpoint on behalf of another VM whether it is the primary.
     *
     * @param endpointId the endpoint
     * @param listener told the answer if there is one
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
     * Asks an endpoint for its status.
     *
     * @param endpointId the endpoint
     * @param maxWaitMillis longest wait for a connection, milliseconds
     * @param callback takes the status, or nothing when the endpoint gave none
     */
    public void queryStatus(String endpointId, long maxWaitMillis, Consumer<Option<ReplicationStatus>> callback) {
        sendControl(endpointId, new EndpointCommand.QueryStatus(), maxWaitMillis, callback);
    }

    /**
     * Makes a primary a replica.
     *
     * @param endpointId the endpoint
     * @param term a term above the primary's
     * @param maxWaitMillis longest wait for a connection, milliseconds
     * @param callback takes the status afterwards, or nothing when the endpoint gave none
     */
    public void stepDown(
            String endpointId, long term, long maxWaitMillis, Consumer<Option<ReplicationStatus>> callback) {
        sendControl(endpointId, new EndpointCommand.StepDown(term), maxWaitMillis, callback);
    }

    /**
     * Closes connections to an endpoint beyond this VM's guaranteed share as soon as they are unused.
     *
     * @param endpointId the endpoint
     */
    public void releaseSurplusConnections(String endpointId) {
        Option.of(pools.get(endpointId)).forEach(EndpointPool::releaseSurplus);
    }

    /**
     * Opens a connection ahead of work that is about to come, where that work would be placed now.
     *
     * @param request the work; it is not submitted
     * @param evict whether an unused connection of another account may be closed for it
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
                    .forEach(pool -> lastPrimaryRevision =
                            Math.max(lastPrimaryRevision, pool.endpoint().revision()));
            listedPrimary().forEach(listed -> setPrimary(listed.id(), "listed"));
            Option.of(pools.get(endpointId)).forEach(pool -> pool.drainWaiting().forEach(this::submit));
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
        submit(request);
    }

    void update(GroupDeclaration declared, SharerCounts sharers, Collection<Endpoint> listed) {
        group = declared;
        vmCount = sharers.vms();
        accountCount = sharers.accounts();
        Map<String, Endpoint> byId = new HashMap<>();
        listed.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
        byId.values().forEach(endpoint -> {
            PoolLimits limits = limits(endpoint, byId.values());
            EndpointPool pool =
                    pools.computeIfAbsent(endpoint.id(), id -> new EndpointPool(endpoint, limits, context, this));
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
        List.copyOf(pools.values()).forEach(EndpointPool::tick);
        if (primaryPool().isDefined()) {
            lastUsablePrimaryMillis = now;
        } else {
            findPrimary(now);
        }
        for (ConnectionRequest request : List.copyOf(waitingForPrimary.keySet())) {
            if (now >= waitingForPrimary.get(request)) {
                waitingForPrimary.remove(request);
                request.refused(ErrorCode.OVERLOADED, "group " + name() + " has no reachable primary");
            }
        }
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

    /** Ages of positions are unknown once the clock may have stood still. */
    private void discardSamplesAfterSuspension() {
        if (suspensions.detectSuspension()) {
            LOG.warn("event=positions_forgotten group={} cause=suspension_or_clock_step term={}", name(), term());
            samples.discardSamples(clock.getAsLong());
        }
    }

    /** Keeps no unused connections from now on. */
    void stop() {
        stopping = true;
        pools.values().forEach(EndpointPool::stop);
    }

    /** Asks all other endpoints whether they lead: the store may be out of reach, or slower than the endpoints. */
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

    /** Whether connections are too few for all VMs, so that questions to endpoints go through lenders. */
    private boolean scarce() {
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

    private void sendControl(
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

    private void removeEndpoint(String id) {
        EndpointPool pool = pools.remove(id);
        LOG.info("event=endpoint_removed group={} endpoint={}", name(), id);
        if (primaryId.contains(id)) {
            primaryId = Option.none();
        }
        List<ConnectionRequest> waiting = pool.drainWaiting();
        pool.closeIdle();
        waiting.forEach(this::submit);
    }

    /** The entry that most recently claimed to be the primary, unless the claim is older than one disproved. */
    private Option<Endpoint> listedPrimary() {
        return Option.ofOptional(pools.values().stream()
                .map(EndpointPool::endpoint)
                .filter(endpoint -> endpoint.primary() && endpoint.revision() > lastPrimaryRevision)
                .max(Comparator.comparingLong(Endpoint::revision)));
    }

    private void setPrimary(String endpointId, String cause) {
        EndpointPool pool = pools.get(endpointId);
        if (pool == null) {
            return;
        }
        lastPrimaryRevision = Math.max(lastPrimaryRevision, pool.endpoint().revision());
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
            previous.forEach(replaced -> replaced.drainWaiting().forEach(this::submit));
        }
        resubmitWaiting();
    }

    private void resubmitWaiting() {
        List<ConnectionRequest> requests = List.copyOf(waitingForPrimary.keySet());
        waitingForPrimary.clear();
        requests.forEach(this::submit);
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
            request.refused(ErrorCode.OVERLOADED, "group " + name() + " has no reachable primary");
        } else {
            waitingForPrimary.put(request, until);
        }
    }
}
