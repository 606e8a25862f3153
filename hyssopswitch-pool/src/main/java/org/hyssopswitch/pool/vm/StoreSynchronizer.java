package org.hyssopswitch.pool.vm;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.placement.RendezvousUtils;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.StoreSyncRequest;
import org.hyssopswitch.pool.peer.StoreSyncResponse;

/**
 * Follows the store through relays, so that its calls do not grow with the fleet.
 *
 * <p>A few VMs of each data centre watch the store; the others ask them for news, and watch the store themselves only
 * while no relay that is in touch with it answers. In a small fleet all VMs watch the store.
 */
final class StoreSynchronizer {

    /** Largest fleet in which all VMs watch the store. */
    private static final int SMALL_FLEET = 8;

    /** Relays of a data centre: one may fail unnoticed. */
    private static final int RELAYS = 2;

    /** Period in which a relay is asked, milliseconds: a part of the seconds in which a change must be in force. */
    private static final long ASK_PERIOD_MILLIS = 400;

    /** Time without an answer of a relay that is in touch with the store, after which a VM watches it, milliseconds. */
    private static final long UNSERVED_MILLIS = 1_000;

    private static final Logger LOG = LogManager.getLogger(StoreSynchronizer.class);

    private final String self;
    private final StoreView view;
    private final LongSupplier clock;
    private PeerLinks peers;
    private List<String> relays = List.of();
    private boolean relay = true;
    private boolean watching = true;
    private long askedMillis;
    private long servedMillis;
    private int turn;

    StoreSynchronizer(String self, StoreView view, PeerLinks peers, LongSupplier clock) {
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.clock = clock;
        this.askedMillis = clock.getAsLong();
        this.servedMillis = askedMillis - UNSERVED_MILLIS;
    }

    void connect(PeerLinks links) {
        peers = links;
    }

    /** Takes the data centre of each VM by its name. */
    void update(Map<String, String> dataCentres) {
        String own = dataCentres.get(self);
        List<String> first = dataCentres.entrySet().stream()
                .filter(vm -> vm.getValue().equals(own))
                .map(Map.Entry::getKey)
                .sorted(RendezvousUtils.byScore("relay", vm -> vm))
                .limit(RELAYS)
                .toList();
        relay = dataCentres.size() <= SMALL_FLEET || first.contains(self);
        relays = relay ? List.of() : first;
    }

    /** Whether this VM watches the store for others, or all VMs do. */
    boolean isRelay() {
        return relay;
    }

    /** Asks a relay when it is time; called every few milliseconds. */
    void tick() {
        long now = clock.getAsLong();
        if (!relays.isEmpty() && now - askedMillis >= ASK_PERIOD_MILLIS) {
            askedMillis = now;
            turn = (turn + 1) % relays.size();
            peers.send(relays.get(turn), new StoreSyncRequest(view.catalog().version(), digest(view.endpoints())));
        }
        boolean needed = relay || now - servedMillis >= UNSERVED_MILLIS;
        if (needed != watching) {
            watching = needed;
            LOG.info("event=store_followed itself={} relay={} unserved_ms={}", needed, relay, now - servedMillis);
            view.setWatching(needed);
        }
    }

    void received(String vm, PeerMessage message) {
        if (message instanceof StoreSyncRequest request) {
            answer(vm, request);
        } else if (message instanceof StoreSyncResponse answer) {
            take(answer);
        }
    }

    private void answer(String vm, StoreSyncRequest request) {
        Catalog catalog = view.catalog();
        Collection<Endpoint> endpoints = view.endpoints();
        boolean listed = view.endpointsRevision() >= 0;
        peers.send(
                vm,
                new StoreSyncResponse(
                        watching && listed && catalog.version() >= 0 && view.isCurrent(),
                        Option.when(catalog.version() > request.catalogVersion(), catalog),
                        view.endpointsRevision(),
                        Option.when(listed && digest(endpoints) != request.endpointsDigest(), List.copyOf(endpoints))));
    }

    private void take(StoreSyncResponse answer) {
        answer.catalog().forEach(view::applyCatalog);
        answer.endpoints().forEach(all -> view.applyEndpoints(answer.endpointsRevision(), all));
        if (answer.current()) {
            servedMillis = clock.getAsLong();
        }
    }

    /** The same for equal lists, whatever their order. */
    private static long digest(Collection<Endpoint> endpoints) {
        return endpoints.stream()
                .mapToLong(endpoint -> RendezvousUtils.score(endpoint.id(), Long.toString(endpoint.revision())))
                .sum();
    }
}
