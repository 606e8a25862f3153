package org.hyssopswitch.pool.vm;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.catalog.EndpointDirectory;
import org.hyssopswitch.pool.endpoint.Groups;
import org.hyssopswitch.pool.quota.AccountLimiter;
import org.hyssopswitch.pool.session.RequestLog;
import org.hyssopswitch.pool.session.Sessions;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.Stored;
import org.hyssopswitch.pool.store.TableWatcher;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** One VM: follows configuration and endpoints in the store and serves sessions. */
public final class PoolVm {

    /** Period in which time limits are checked, milliseconds. */
    private static final long TICK_MILLIS = 20;

    /** Period in which the list of VMs is read, milliseconds: VMs come and go rarely. */
    private static final long VM_LIST_MILLIS = 5_000;

    /** Period in which the list of VMs is read until the fleet has started, milliseconds. */
    private static final long VM_LIST_START_MILLIS = 1_500;

    /** Reads of the list of VMs at the shorter period. */
    private static final int VM_LIST_START_COUNT = 6;

    private static final Logger LOG = LogManager.getLogger(PoolVm.class);

    private final VmPorts ports;
    private final DecisionLoop loop;
    private final EndpointDirectory directory;
    private final Groups groups;
    private final AccountLimiter limiter;
    private final Sessions sessions;
    private volatile Catalog catalog = Catalog.EMPTY;
    private int vms = 1;
    private int vmLists;
    private volatile boolean endpointsListed;
    private volatile boolean registered;
    private volatile boolean draining;

    /**
     * Creates a VM.
     *
     * @param ports its way to the outside
     */
    public PoolVm(VmPorts ports) {
        this.ports = ports;
        this.loop = ports.loop();
        this.directory = new EndpointDirectory(loop::nowMillis);
        this.groups = new Groups(ports.self().dataCentre(), ports.connector(), loop::nowMillis);
        this.limiter = new AccountLimiter(loop::nowMillis);
        this.sessions = new Sessions(groups, limiter, new RequestLog(loop::nowMillis), loop::nowMillis);
    }

    /** Starts to follow the store. */
    public void start() {
        new TableWatcher<>("configuration", ports.catalogs(), new CatalogListener(), loop, ports.random()).start();
        new TableWatcher<>("endpoints", ports.endpoints(), new EndpointListener(), loop, ports.random()).start();
        register(Option.none());
        loop.schedule(TICK_MILLIS, this::tick);
    }

    /** The sessions of callers. */
    public Sessions sessions() {
        return sessions;
    }

    /** Whether new callers may be sent here; may be read on any thread. */
    public boolean ready() {
        return !draining && endpointsListed && catalog.version() >= 0 && registered;
    }

    /**
     * Stops taking callers and ends once none is left.
     *
     * @param graceMillis milliseconds after which the process is killed
     * @return done when no session is left; may be called on any thread
     */
    public Future<Boolean> drain(long graceMillis) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        draining = true;
        loop.execute(() -> {
            LOG.info("event=drain_started sessions={} grace_ms={}", sessions.size(), graceMillis);
            new DrainRun(loop, sessions, graceMillis, () -> done.complete(true)).start();
        });
        return done;
    }

    private void tick() {
        loop.schedule(TICK_MILLIS, this::tick);
        if (directory.tick()) {
            apply();
        }
        groups.tick();
        sessions.tick();
    }

    private void apply() {
        groups.update(catalog, directory.endpoints(), vms);
        limiter.update(catalog, vms);
        sessions.configure(catalog);
    }

    private void register(Option<Long> expected) {
        ports.vms().write(ports.name(), expected, ports.self(), result -> registered(result));
    }

    private void registered(Either<StoreFailure, Stored<VmEntry>> result) {
        if (result.isRight()) {
            registered = true;
            listVms();
        } else if (result.getLeft() instanceof StoreFailure.Conflict) {
            ports.vms().read(ports.name(), this::replaceEntry);
        } else {
            loop.schedule(VM_LIST_START_MILLIS, () -> register(Option.none()));
        }
    }

    private void replaceEntry(Either<StoreFailure, Option<Stored<VmEntry>>> found) {
        if (found.isLeft()) {
            loop.schedule(VM_LIST_START_MILLIS, () -> register(Option.none()));
        } else {
            register(found.get().map(Stored::revision));
        }
    }

    private void listVms() {
        vmLists++;
        long period = vmLists < VM_LIST_START_COUNT ? VM_LIST_START_MILLIS : VM_LIST_MILLIS;
        loop.schedule(period, this::listVms);
        ports.vms().list(true, result -> result.peek(this::vmsListed)
                .peekLeft(failure -> LOG.warn("event=vm_list_failed cause=\"{}\"", failure.describe())));
    }

    private void vmsListed(Listing<VmEntry> listing) {
        int count = Math.max(1, (int) listing.objects().stream()
                .filter(stored -> stored.value().isDefined())
                .count());
        if (count != vms) {
            LOG.info("event=fleet_size_changed from={} to={}", vms, count);
            vms = count;
            apply();
        }
    }

    private final class CatalogListener implements TableWatcher.Listener<Catalog> {

        @Override
        public void listed(Listing<Catalog> all) {
            changed(all);
        }

        @Override
        public void changed(Listing<Catalog> changes) {
            changes.objects().forEach(stored -> stored.value().peek(next -> {
                if (next.version() > catalog.version()) {
                    LOG.info(
                            "event=configuration_applied version={} previous={} revision={}",
                            next.version(),
                            catalog.version(),
                            stored.revision());
                    catalog = next;
                    apply();
                }
            }));
        }

        @Override
        public void regained() {
            // Versions only grow, so an outage needs no special care.
        }
    }

    private final class EndpointListener implements TableWatcher.Listener<Endpoint> {

        @Override
        public void listed(Listing<Endpoint> all) {
            Map<String, Endpoint> listed = new HashMap<>();
            all.objects().forEach(stored -> stored.value().peek(value -> listed.put(stored.name(), value)));
            directory.replaceAll(listed);
            endpointsListed = true;
            apply();
        }

        @Override
        public void changed(Listing<Endpoint> changes) {
            changes.objects().forEach(stored -> {
                stored.value().peek(directory::put).onEmpty(() -> directory.remove(stored.name()));
                LOG.info("event=endpoint_changed endpoint={} entry={}", stored.name(), stored.value());
            });
            apply();
        }

        @Override
        public void regained() {
            directory.storeRegained();
        }
    }
}
