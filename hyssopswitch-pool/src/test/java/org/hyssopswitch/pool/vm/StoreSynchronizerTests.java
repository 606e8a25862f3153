package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

/** Two data centres in which few VMs watch the store. */
class StoreSynchronizerTests {

    private static final long TICK_MILLIS = 20;

    private final ManualLoop loop = new ManualLoop();
    private final FakePeerNetwork network = new FakePeerNetwork(loop);
    private final Map<String, View> views = new HashMap<>();
    private final Map<String, StoreSynchronizer> synchronizers = new HashMap<>();

    @Test
    void letsOneVmOfEachDataCentreWatchTheStoreOfALargeFleet() {
        start(40);
        loop.advance(4_000);
        assertEquals(2, watching().size());
    }

    @Test
    void letsAllVmsOfASmallFleetWatchTheStore() {
        start(6);
        loop.advance(2_000);
        assertEquals(6, watching().size());
    }

    @Test
    void propagatesChangesWithinASecond() {
        start(40);
        loop.advance(2_000);
        watching().forEach(view -> {
            view.catalog = version(7);
            view.endpoints = List.of(endpoint("e1", 5), endpoint("e2", 9));
            view.position = new StorePosition(0, 9);
        });
        loop.advance(1_000);
        views.values().forEach(view -> {
            assertEquals(7, view.catalog.version());
            assertEquals(2, view.endpoints.size());
        });
    }

    @Test
    void removesEndpointsThatTheRelayHasRemoved() {
        start(40);
        List<Endpoint> both = List.of(endpoint("e1", 5), endpoint("e2", 9));
        views.values().forEach(view -> {
            view.endpoints = both;
            view.position = new StorePosition(0, 9);
        });
        loop.advance(2_000);
        watching().forEach(view -> {
            view.endpoints = List.of(endpoint("e1", 5));
            view.position = new StorePosition(0, 12);
        });
        loop.advance(1_000);
        views.values().forEach(view -> assertEquals(1, view.endpoints.size()));
    }

    @Test
    void ignoresAListThatIsOlderThanItsOwn() {
        start(40);
        loop.advance(2_000);
        View nonRelay = views.values().stream()
                .filter(view -> !view.watches)
                .findFirst()
                .get();
        nonRelay.endpoints = List.of(endpoint("e1", 5));
        nonRelay.position = new StorePosition(0, 50);
        loop.advance(2_000);
        assertEquals(1, nonRelay.endpoints.size());
    }

    @Test
    void bringsVmsForwardThatReadAnEarlierConfigurationFromAStoreThatCameBackFromACopy() {
        for (int vms : List.of(6, 40)) {
            views.clear();
            synchronizers.clear();
            start(vms);
            loop.advance(2_000);
            List<View> restarted = watching().subList(1, watching().size());
            views.values().forEach(view -> view.catalog = version(9));
            restarted.forEach(view -> view.catalog = version(4));
            loop.advance(2_000L * watching().size());
            views.values().forEach(view -> assertEquals(9, view.catalog.version(), view.name));
        }
    }

    @Test
    void keepsTheEndpointsOfItsOwnWatchWhileItPollsOtherWatchers() {
        start(6);
        views.get("vm-0").endpoints = List.of(endpoint("e1", 5));
        views.get("vm-0").position = new StorePosition(0, 50);
        loop.advance(20_000);
        assertTrue(views.get("vm-1").endpoints.isEmpty());
    }

    @Test
    void watchesTheStoreDirectlyWhileItsRelaysCannotReachIt() {
        start(40);
        loop.advance(2_000);
        views.values().forEach(view -> view.current = false);
        loop.advance(2_500);
        assertEquals(40, watching().size());
        views.values().forEach(view -> view.current = true);
        loop.advance(1_500);
        assertEquals(2, watching().size());
    }

    @Test
    void usesTheOtherRelayWhenOneIsUnreachable() {
        start(40);
        loop.advance(2_000);
        View cutOff = watching().get(0);
        network.setPartitioned(cutOff.name, true);
        loop.advance(6_000);
        // The unreachable relay, the standby of its data centre and the other data centre's relay.
        assertEquals(3, watching().size());
    }

    private void start(int vms) {
        Map<String, String> dataCentres = new HashMap<>();
        for (int i = 0; i < vms; i++) {
            dataCentres.put("vm-" + i, "dc-" + i % 2);
        }
        dataCentres.keySet().forEach(name -> {
            View view = new View(name);
            views.put(name, view);
            StoreSynchronizer synchronizer = new StoreSynchronizer(
                    name,
                    view,
                    network.join(
                            name, (from, message) -> synchronizers.get(name).received(from, message)),
                    loop::nowMillis);
            synchronizers.put(name, synchronizer);
            synchronizer.update(dataCentres);
        });
        tick();
    }

    private void tick() {
        synchronizers.values().forEach(StoreSynchronizer::tick);
        loop.schedule(TICK_MILLIS, this::tick);
    }

    private List<View> watching() {
        return views.values().stream().filter(view -> view.watches).toList();
    }

    private static Catalog version(long version) {
        return Catalog.of(version, List.of(), List.of(), Map.of(), 3_000);
    }

    private static Endpoint endpoint(String id, long revision) {
        return new Endpoint(id, "group", "10.0.0.1", 1000, "dc-0", false, false, 1, 0, new StorePosition(0, revision));
    }

    private static final class View implements StoreView {

        private final String name;
        private Catalog catalog = version(1);
        private Collection<Endpoint> endpoints = new ArrayList<>();
        private StorePosition position = new StorePosition(0, 1);
        private boolean watches = true;
        private boolean current = true;

        View(String name) {
            this.name = name;
        }

        @Override
        public Catalog catalog() {
            return catalog;
        }

        @Override
        public Collection<Endpoint> endpoints() {
            return endpoints;
        }

        @Override
        public StorePosition endpointsPosition() {
            return position;
        }

        @Override
        public boolean isCurrent() {
            return current;
        }

        @Override
        public void applyCatalog(Catalog next) {
            if (next.version() > catalog.version()) {
                catalog = next;
            }
        }

        @Override
        public void applyEndpoints(StorePosition listPosition, Collection<Endpoint> all) {
            if (listPosition.compareTo(position) >= 0) {
                position = listPosition;
                endpoints = List.copyOf(all);
            }
        }

        @Override
        public void setWatching(boolean watching) {
            watches = watching;
        }
    }
}
