package org.hyssopswitch.pool.vm;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.placement.RendezvousUtils;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.StoreSyncRequest;
import org.hyssopswitch.pool.peer.StoreSyncResponse;

/**
 * Synchronises this VM with the store through relays, so that the calls to the store do not grow with the fleet.
 *
 * <p>One VM of each data centre is its store relay and watches the store; a second one is the standby, which watches it
 * as soon as the relay fails to answer. The others poll the relay for changes, or the standby while the relay does not
 * answer, and watch the store themselves only while neither is in contact with it. In a small fleet all VMs watch the
 * store.
 *
 * <p>VMs that watch the store also poll each other for later configurations. A store that comes back from a copy shows an
 * earlier configuration to the VMs that start then, while the others keep the later one in force.
 */
final class StoreSynchronizer {

    /** Maximum number of VMs in a fleet in which all VMs watch the store. */
    private static final int MAX_VMS_WITHOUT_RELAYS = 8;

    /** The relay and the standby of a data centre. */
    private static final int RELAYS_PER_DATA_CENTRE = 2;

    /**
     * Period in which a relay is polled, milliseconds: a fraction of the seconds within which a change must be in
     * force.
     */
    private static final long SYNC_PERIOD_MILLIS = 400;

    /** Period in which a VM that watches the store polls another one for a later configuration, milliseconds. */
    private static final long CONFIGURATION_POLL_PERIOD_MILLIS = 2_000;

    /** Time without an answer from the relay after which the standby is polled instead, milliseconds: one lost poll. */
    private static final long RELAY_SILENCE_MILLIS = 700;

    /** Time without an answer from the relay after which the standby watches the store, milliseconds: two lost polls. */
    private static final long STANDBY_TIMEOUT_MILLIS = 1_000;

    /**
     * Time without an answer from a relay or standby in contact with the store after which a VM watches the store itself,
     * milliseconds: the standby had time to take over.
     */
    private static final long RELAY_TIMEOUT_MILLIS = 2_200;

    private static final Logger LOG = LogManager.getLogger(StoreSynchronizer.class);

    private final String self;
    private final StoreView view;
    private final LongSupplier clock;
    private PeerLinks peers;
    private List<String> polled = List.of();
    private boolean relay = true;
    private boolean standby;
    private boolean watching = true;
    private long lastRequestMillis;
    private volatile long lastServedMillis;
    private int relayIndex;

    StoreSynchronizer(String self, StoreView view, PeerLinks peers, LongSupplier clock) {
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.clock = clock;
        this.lastRequestMillis = clock.getAsLong();
        this.lastServedMillis = lastRequestMillis - RELAY_TIMEOUT_MILLIS;
    }

    void connect(PeerLinks links) {
        peers = links;
    }

    /** Updates the data centres of the VMs, by VM name, and chooses the relays. */
    void update(Map<String, String> dataCentres) {
        String own = dataCentres.get(self);
        List<String> elected =
                rankedVms(dataCentres, own).limit(RELAYS_PER_DATA_CENTRE).toList();
        relay = dataCentres.size() <= MAX_VMS_WITHOUT_RELAYS || elected.indexOf(self) == 0;
        standby = !relay && elected.contains(self);
        polled = relay
                ? otherWatchers(dataCentres)
                : elected.stream().filter(vm -> !vm.equals(self)).toList();
    }

    /** Returns the VMs of all data centres that watch the store, except this one. */
    private List<String> otherWatchers(Map<String, String> dataCentres) {
        boolean allWatch = dataCentres.size() <= MAX_VMS_WITHOUT_RELAYS;
        return dataCentres.values().stream()
                .distinct()
                .sorted()
                .flatMap(dataCentre -> rankedVms(dataCentres, dataCentre).limit(allWatch ? dataCentres.size() : 1))
                .filter(vm -> !vm.equals(self))
                .toList();
    }

    private static Stream<String> rankedVms(Map<String, String> dataCentres, String dataCentre) {
        return dataCentres.entrySet().stream()
                .filter(vm -> vm.getValue().equals(dataCentre))
                .map(Map.Entry::getKey)
                .sorted(RendezvousUtils.byScore("relay", vm -> vm));
    }

    /** Returns whether this VM watches the store for others, or would if the relay failed, or all VMs do. */
    boolean isRelayOrStandby() {
        return relay || standby;
    }

    /**
     * Returns the time since a relay last answered while it was in contact with the store, milliseconds; may be called on
     * any thread.
     */
    long unservedMillis() {
        return clock.getAsLong() - lastServedMillis;
    }

    /** Polls a relay when due and starts or stops watching the store; called every few milliseconds. */
    void tick() {
        long now = clock.getAsLong();
        long periodMillis = relay ? CONFIGURATION_POLL_PERIOD_MILLIS : SYNC_PERIOD_MILLIS;
        if (!polled.isEmpty() && now - lastRequestMillis >= periodMillis) {
            lastRequestMillis = now;
            peers.send(nextPolled(now), new StoreSyncRequest(view.catalog().version(), digest(view.endpoints())));
        }
        long timeoutMillis = standby ? STANDBY_TIMEOUT_MILLIS : RELAY_TIMEOUT_MILLIS;
        boolean shouldWatch = relay || now - lastServedMillis >= timeoutMillis;
        if (shouldWatch != watching) {
            watching = shouldWatch;
            LOG.info(
                    "event=store_followed itself={} relay={} unserved_ms={}",
                    shouldWatch,
                    relay,
                    now - lastServedMillis);
            view.setWatching(shouldWatch);
        }
    }

    /** Returns the next of the other watchers in rotation, or the relay unless it has not answered for a while. */
    private String nextPolled(long now) {
        if (relay || now - lastServedMillis >= RELAY_SILENCE_MILLIS) {
            relayIndex = (relayIndex + 1) % polled.size();
            return polled.get(relayIndex);
        }
        return polled.get(relayIndex % polled.size());
    }

    void received(String vm, PeerMessage message) {
        if (message instanceof StoreSyncRequest request) {
            sendResponse(vm, request);
        } else if (message instanceof StoreSyncResponse response) {
            applyResponse(response);
        }
    }

    private void sendResponse(String vm, StoreSyncRequest request) {
        Catalog catalog = view.catalog();
        Collection<Endpoint> endpoints = view.endpoints();
        boolean listed = !view.endpointsPosition().equals(StorePosition.NONE);
        peers.send(
                vm,
                new StoreSyncResponse(
                        watching && listed && catalog.version() >= 0 && view.isCurrent(),
                        Option.when(catalog.version() > request.catalogVersion(), catalog),
                        view.endpointsPosition(),
                        Option.when(listed && digest(endpoints) != request.endpointsDigest(), List.copyOf(endpoints))));
    }

    private void applyResponse(StoreSyncResponse response) {
        response.catalog().forEach(view::applyCatalog);
        if (relay) {
            // This VM's own watch is the authority on the endpoints; an answer may overtake one that is in flight.
            return;
        }
        response.endpoints().forEach(all -> view.applyEndpoints(response.endpointsPosition(), all));
        if (response.current()) {
            lastServedMillis = clock.getAsLong();
        }
    }

    /** Returns the same digest for equal lists, whatever their order. */
    private static long digest(Collection<Endpoint> endpoints) {
        return endpoints.stream()
                .mapToLong(endpoint ->
                        RendezvousUtils.score(endpoint.id(), endpoint.position().toString()))
                .sum();
    }
}
