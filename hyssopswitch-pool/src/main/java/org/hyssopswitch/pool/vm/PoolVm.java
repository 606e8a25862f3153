package org.hyssopswitch.pool.vm;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.catalog.EndpointDirectory;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.endpoint.GroupContext;
import org.hyssopswitch.pool.failover.PrimaryFailover;
import org.hyssopswitch.pool.lease.ConnectionBorrower;
import org.hyssopswitch.pool.lease.ConnectionLender;
import org.hyssopswitch.pool.peer.AdmissionReply;
import org.hyssopswitch.pool.peer.AdmissionRequest;
import org.hyssopswitch.pool.peer.CommitConfirmation;
import org.hyssopswitch.pool.peer.CommitConfirmationRequest;
import org.hyssopswitch.pool.peer.ConnectionShortage;
import org.hyssopswitch.pool.peer.LeadershipPing;
import org.hyssopswitch.pool.peer.LeadershipPong;
import org.hyssopswitch.pool.peer.LenderPing;
import org.hyssopswitch.pool.peer.PeerLinkListener;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.PrimaryUnreachableReport;
import org.hyssopswitch.pool.peer.StoreSyncRequest;
import org.hyssopswitch.pool.peer.StoreSyncResponse;
import org.hyssopswitch.pool.peer.TokenRequest;
import org.hyssopswitch.pool.peer.TokenTransfer;
import org.hyssopswitch.pool.peer.VmStopping;
import org.hyssopswitch.pool.quota.AccountLimiter;
import org.hyssopswitch.pool.session.RequestLog;
import org.hyssopswitch.pool.session.RequestMetrics;
import org.hyssopswitch.pool.session.Sessions;
import org.hyssopswitch.pool.store.EraCheckUtils;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.TableWatcher;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.GuardedTaskUtils;

/** One VM of the pool engine: follows configuration and endpoints in the store and serves sessions. */
public final class PoolVm {

    /** Period in which timeouts are checked, milliseconds. */
    private static final long TICK_MILLIS = 20;

    /**
     * Maximum duration of a watch of the configuration, milliseconds. A VM must follow changes again within 4 s after a
     * connection has become unresponsive; the rest of that time is left for the timeout of the call, its retry on a new
     * connection, and the decoding of a large configuration on a slow VM.
     */
    public static final long MAX_CONFIGURATION_WATCH_MILLIS = 2_000;

    /** Maximum duration of a watch of the endpoints, milliseconds: a VM must leave a draining endpoint within 7 s. */
    private static final long MAX_ENDPOINT_WATCH_MILLIS = 4_500;

    /** Time in which the balancer notices that the VM is not ready, milliseconds: two probe periods of one second. */
    private static final long READINESS_PROPAGATION_MILLIS = 2_200;

    /** Number of idle sessions closed per tick during isolation, so that their callers do not reconnect all at once. */
    private static final int SESSIONS_CLOSED_PER_TICK = 1;

    /** Time that a VM takes to serve again after its process has ended, milliseconds. */
    private static final long RESTART_MILLIS = 2_000;

    /** Number of VMs of other data centres that are pinged at a time. */
    private static final int ISOLATION_PING_COUNT = 3;

    private static final Logger LOG = LogManager.getLogger(PoolVm.class);

    private final VmDependencies dependencies;
    private final Random pingRandom;
    private final MetricRegistry metrics = new MetricRegistry();
    private final DecisionLoop loop;
    private final EndpointDirectory directory;
    private final ConnectionBorrower borrower;
    private final ConnectionLender lender;
    private final DatabaseGroups groups;
    private final AccountLimiter limiter;
    private final Sessions sessions;
    private final PrimaryFailover failover;
    private final FleetMembership membership;
    private final TableWatcher<Catalog> catalogWatcher;
    private final TableWatcher<Endpoint> endpointWatcher;
    private final StoreSynchronizer synchronizer;
    private final IsolationDetector isolationDetector;
    private final LinkWarmUp warmUp;
    private final List<Runnable> periodicTasks;
    private volatile Catalog catalog = Catalog.EMPTY;
    private volatile Set<String> vmNames = Set.of();
    private PeerLinks peers;
    private volatile StorePosition endpointsPosition = StorePosition.NONE;
    private boolean linksOpen;
    private volatile boolean draining;
    private volatile boolean isolated;
    private Map<String, String> dataCentres = Map.of();

    /**
     * Creates a VM.
     *
     * @param dependencies external dependencies of the VM
     */
    public PoolVm(VmDependencies dependencies) {
        this.dependencies = dependencies;
        this.loop = dependencies.loop();
        this.pingRandom = new Random(dependencies.self().incarnation());
        this.directory = new EndpointDirectory(loop::nowMillis);
        this.peers = new NoPeerLinks();
        this.borrower = new ConnectionBorrower(dependencies.name(), peers, dependencies.random(), loop::nowMillis);
        this.groups = new DatabaseGroups(new GroupContext(
                dependencies.self().dataCentre(),
                dependencies.connector(),
                borrower,
                dependencies.statusDecoder(),
                (group, endpoint) -> peers.sendToSubset(new ConnectionShortage(group, endpoint)),
                metrics,
                loop::nowMillis,
                dependencies.timeOfDay()));
        this.lender = new ConnectionLender(groups, peers, loop::nowMillis);
        this.limiter = new AccountLimiter(peers, loop::nowMillis);
        this.failover = new PrimaryFailover(
                dependencies.name(),
                groups,
                dependencies.promotionAuthority(),
                dependencies.failoverTables(),
                dependencies.eras(),
                loop,
                dependencies.random(),
                peers);
        this.membership = new FleetMembership(dependencies, new LinkListener(), this::connected, this::fleetChanged);
        this.sessions = new Sessions(
                groups,
                limiter,
                new RequestLog(loop::nowMillis, this::configurationAgeMillis),
                new RequestMetrics(metrics),
                failover.commitGuard(),
                loop::nowMillis);
        this.catalogWatcher = new TableWatcher<>(
                "configuration",
                dependencies.catalogs(),
                new CatalogListener(),
                MAX_CONFIGURATION_WATCH_MILLIS,
                loop,
                dependencies.random());
        this.endpointWatcher = new TableWatcher<>(
                "endpoints",
                dependencies.endpoints(),
                new EndpointListener(),
                MAX_ENDPOINT_WATCH_MILLIS,
                loop,
                dependencies.random());
        this.synchronizer = new StoreSynchronizer(dependencies.name(), new LocalStoreView(), peers, loop::nowMillis);
        this.isolationDetector = new IsolationDetector(this::pingOtherDataCentres, loop.nowMillis());
        this.warmUp = new LinkWarmUp(vm -> peers.send(vm, new LenderPing(false)));
        this.periodicTasks = periodicTasks();
        metrics.gauge("sessions", () -> sessions::size);
        metrics.gauge("configuration_version", () -> () -> catalog.version());
        metrics.gauge("configuration_age_ms", () -> this::configurationAgeMillis);
        metrics.gauge("fleet_vms", () -> () -> vmNames.size());
    }

    /** Starts following the store. */
    public void start() {
        dependencies.eras().addListener((previous, era) -> eraAdvanced());
        catalogWatcher.start();
        endpointWatcher.start();
        membership.start();
        loop.schedule(TICK_MILLIS, this::tick);
    }

    /** Returns counters and latencies; may be read on any thread. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /** Returns the sessions of callers. */
    public Sessions sessions() {
        return sessions;
    }

    /** Returns whether new callers may be sent to this VM; may be called on any thread. */
    public boolean isReady() {
        return !draining
                && !isolated
                && !endpointsPosition.equals(StorePosition.NONE)
                && catalog.version() >= 0
                && !vmNames.isEmpty();
    }

    /**
     * Stops taking callers and closes the sessions once they are idle; may be called on any thread.
     *
     * @param graceMillis milliseconds after which the process is killed
     * @return completes when no session is left or the grace period is almost over
     */
    public Future<Boolean> drain(long graceMillis) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        draining = true;
        loop.execute(() -> {
            LOG.info("event=drain_started sessions={} grace_ms={}", sessions.size(), graceMillis);
            lender.stop();
            announceStop(graceMillis + RESTART_MILLIS);
            new SessionDrain(
                            loop,
                            () -> sessions.size() + lender.leaseCount(),
                            sessions,
                            graceMillis,
                            () -> done.complete(true))
                    .start();
        });
        return done;
    }

    /** The store has come back from a copy, which may lack what this VM has read and written. */
    private void eraAdvanced() {
        failover.eraAdvanced();
        catalogWatcher.eraAdvanced();
        endpointWatcher.eraAdvanced();
        membership.eraAdvanced();
    }

    private void tick() {
        loop.schedule(TICK_MILLIS, this::tick);
        GuardedTaskUtils.forEach("vm_tick", periodicTasks, Runnable::run);
    }

    /** Returns the tasks of a tick, in the order in which they run. */
    private List<Runnable> periodicTasks() {
        return List.of(
                this::removeExpiredEndpoints,
                limiter::tick,
                synchronizer::tick,
                warmUp::tick,
                borrower::tick,
                lender::tick,
                groups::tick,
                sessions::tick,
                failover::tick,
                this::updateIsolation);
    }

    private void removeExpiredEndpoints() {
        if (directory.removeExpired()) {
            reconfigure();
        }
    }

    /** Has callers reconnect to another data centre while this one is cut off from the others. */
    private void updateIsolation() {
        long now = loop.nowMillis();
        isolationDetector.tick(remotePrimariesLost(), now);
        isolated = isolationDetector.isIsolated();
        if (isolationDetector.isolatedMillis(now) > READINESS_PROPAGATION_MILLIS) {
            sessions.closeIdle(SESSIONS_CLOSED_PER_TICK);
        }
    }

    private boolean remotePrimariesLost() {
        List<DatabaseGroup> remote = groups.all().stream()
                .filter(group -> group.primary().exists(this::isRemote))
                .toList();
        return !remote.isEmpty()
                && remote.stream()
                        .noneMatch(
                                group -> group.isReachable(group.primary().get().id()));
    }

    private boolean isRemote(Endpoint endpoint) {
        return !endpoint.dataCentre().equals(dependencies.self().dataCentre());
    }

    private void pingOtherDataCentres() {
        List<String> others = new ArrayList<>(dataCentres.keySet());
        others.removeIf(vm -> dataCentres.get(vm).equals(dependencies.self().dataCentre()));
        Collections.shuffle(others, pingRandom);
        others.stream().limit(ISOLATION_PING_COUNT).forEach(vm -> peers.send(vm, new LenderPing(false)));
    }

    private void reconfigure() {
        if (vmNames.isEmpty()) {
            return;
        }
        groups.update(catalog, directory.endpoints(), vmNames.size());
        limiter.update(catalog, dependencies.name(), dataCentres);
        sessions.configure(catalog);
        if (linksOpen && groups.scarce()) {
            warmUp.add(limiter.preferredHolders());
            warmUp.add(borrower.lenders(directory.endpoints()));
        }
    }

    /** Returns the time since the configuration in force was last confirmed to be the latest, milliseconds. */
    private long configurationAgeMillis() {
        return Math.min(catalogWatcher.unconfirmedMillis(), synchronizer.unservedMillis());
    }

    private void applyCatalog(Catalog next, String from) {
        if (next.version() > catalog.version()) {
            LOG.info(
                    "event=configuration_applied version={} previous={} from={} previous_age_ms={}",
                    next.version(),
                    catalog.version(),
                    from,
                    configurationAgeMillis());
            catalog = next;
            reconfigure();
        }
    }

    private void received(String vm, PeerMessage message) {
        if (!dependencies.self().dataCentre().equals(dataCentres.get(vm))) {
            isolationDetector.remoteMessageReceived(loop.nowMillis());
        }
        if (message instanceof AdmissionRequest
                || message instanceof AdmissionReply
                || message instanceof TokenRequest
                || message instanceof TokenTransfer) {
            limiter.received(vm, message);
        } else if (message instanceof VmStopping stopping) {
            borrower.vmStopping(vm, stopping.unavailableMillis());
            limiter.vmStopping(vm, stopping.unavailableMillis());
        } else if (message instanceof ConnectionShortage shortage) {
            groups.find(shortage.group()).forEach(group -> group.releaseSurplusConnections(shortage.endpoint()));
        } else if (message instanceof PrimaryUnreachableReport
                || message instanceof CommitConfirmationRequest
                || message instanceof CommitConfirmation
                || message instanceof LeadershipPing
                || message instanceof LeadershipPong) {
            failover.received(vm, message);
        } else if (message instanceof StoreSyncRequest || message instanceof StoreSyncResponse) {
            synchronizer.received(vm, message);
        } else {
            borrower.received(vm, message);
            lender.received(vm, message);
        }
    }

    /** Has the other VMs turn to each other before this one falls silent. */
    private void announceStop(long unavailableMillis) {
        borrower.vmStopping(dependencies.name(), unavailableMillis);
        limiter.stop(dependencies.name());
        peers.names().forEach(vm -> peers.send(vm, new VmStopping(unavailableMillis)));
    }

    private void connected(PeerLinks links) {
        peers = links;
        limiter.connect(links);
        failover.connect(links);
        synchronizer.connect(links);
        borrower.connect(links);
        lender.connect(links);
        linksOpen = true;
        reconfigure();
    }

    private void fleetChanged(Map<String, String> dataCentreOf) {
        dataCentres = dataCentreOf;
        vmNames = dataCentres.keySet();
        borrower.update(dataCentres);
        synchronizer.update(dataCentres);
        failover.setCandidate(synchronizer.isRelayOrStandby());
        failover.setFleetSize(vmNames.size());
        reconfigure();
    }

    private final class LinkListener implements PeerLinkListener {

        @Override
        public void received(String vm, PeerMessage message) {
            PoolVm.this.received(vm, message);
        }

        @Override
        public void linkOpened(String vm) {
            borrower.linkOpened(vm);
            limiter.linkOpened(vm);
        }

        @Override
        public void linkFailed(String vm) {
            borrower.linkFailed(vm);
            limiter.linkFailed(vm);
        }
    }

    private final class CatalogListener implements TableWatcher.Listener<Catalog> {

        @Override
        public void listed(Listing<Catalog> all) {
            changed(all);
            // The list may have been read again because the version in force was applied only in part.
            reconfigure();
        }

        @Override
        public void changed(Listing<Catalog> changes) {
            changes.objects().forEach(stored -> stored.value().peek(next -> applyCatalog(next, "store")));
        }

        @Override
        public void storeRecovered() {
            // Only higher versions are applied, so the configuration in force never regresses to that of a copy.
        }
    }

    private final class EndpointListener implements TableWatcher.Listener<Endpoint> {

        @Override
        public void listed(Listing<Endpoint> all) {
            Map<String, Endpoint> listed = new HashMap<>();
            all.objects().forEach(stored -> stored.value().peek(value -> listed.put(stored.name(), value)));
            directory.replaceAll(listed);
            endpointsPosition = all.position();
            reconfigure();
        }

        @Override
        public void changed(Listing<Endpoint> changes) {
            changes.objects().forEach(stored -> {
                stored.value().peek(directory::put).onEmpty(() -> directory.remove(stored.name()));
                LOG.info("event=endpoint_changed endpoint={} entry={}", stored.name(), stored.value());
            });
            endpointsPosition = endpointsPosition.max(changes.position());
            reconfigure();
        }

        @Override
        public void storeRecovered() {
            directory.storeRecovered();
        }
    }

    /** The state of the store as known to this VM, from its own watches or from a relay. */
    private final class LocalStoreView implements StoreView {

        @Override
        public Catalog catalog() {
            return catalog;
        }

        @Override
        public Collection<Endpoint> endpoints() {
            return directory.endpoints();
        }

        @Override
        public StorePosition endpointsPosition() {
            return endpointsPosition;
        }

        @Override
        public boolean isCurrent() {
            return catalogWatcher.isCurrent() && endpointWatcher.isCurrent();
        }

        @Override
        public void applyCatalog(Catalog next) {
            PoolVm.this.applyCatalog(next, "relay");
        }

        @Override
        public void applyEndpoints(StorePosition position, Collection<Endpoint> all) {
            boolean usable =
                    EraCheckUtils.checkRelayed(dependencies.eras(), position).isRight();
            if (usable && position.compareTo(endpointsPosition) >= 0) {
                LOG.info("event=endpoints_listed endpoints={} position={} from=relay", all.size(), position);
                endpointsPosition = position;
                directory.replaceAll(all.stream().collect(Collectors.toMap(Endpoint::id, Function.identity())));
                reconfigure();
            }
        }

        @Override
        public void setWatching(boolean watching) {
            if (watching) {
                catalogWatcher.resume();
                endpointWatcher.resume();
            } else {
                catalogWatcher.pause();
                endpointWatcher.pause();
            }
        }
    }
}
