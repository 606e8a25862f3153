package org.hyssopswitch.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.membership.MembershipView;
import org.junit.jupiter.api.Test;

class RendezvousHomeResolverTests {

    private static final CellId CELL = new CellId("recife");
    private static final int ENDPOINTS = 1_000;

    private final FixedMembershipView view = new FixedMembershipView();
    private final RendezvousHomeResolver resolver = new RendezvousHomeResolver(view);

    @Test
    void returnsTwoDistinctHomes() {
        view.set(10);
        List<VmAddress> homes = resolver.homes(endpoint(1));
        assertEquals(2, new HashSet<>(homes).size());
    }

    @Test
    void returnsNoHomeForUnknownCell() {
        assertEquals(List.of(), resolver.homes(endpoint(1)));
    }

    @Test
    void movesOnlyEndpointsOfRemovedVm() {
        view.set(10);
        List<VmAddress> before = homes();
        view.set(9);
        List<VmAddress> after = homes();
        long moved = IntStream.range(0, ENDPOINTS)
                .filter(i -> !before.get(i).equals(after.get(i)))
                .count();
        assertEquals(before.stream().filter(a -> a.vm().value().equals("vm9")).count(), moved);
    }

    @Test
    void spreadsEndpointsEvenly() {
        view.set(10);
        List<VmAddress> homes = homes();
        view.vms.forEach(vm -> {
            long share = homes.stream().filter(vm::equals).count();
            assertTrue(share > ENDPOINTS / 20 && share < ENDPOINTS / 5, () -> vm + " has " + share);
        });
    }

    @Test
    void ranksSuspectedVmLast() {
        view.set(2);
        VmAddress home = resolver.homes(endpoint(1)).get(0);
        view.suspected.add(home);
        view.version++;
        assertEquals(home, resolver.homes(endpoint(1)).get(1));
    }

    private List<VmAddress> homes() {
        return IntStream.range(0, ENDPOINTS)
                .mapToObj(i -> resolver.homes(endpoint(i)).get(0))
                .toList();
    }

    private static EndpointDeclaration endpoint(int number) {
        return new EndpointDeclaration(
                new EndpointId("e" + number), new DataCentreId("recife"), CELL, "127.0.0.1", 5432, false);
    }

    private static final class FixedMembershipView implements MembershipView {
        private final List<VmAddress> vms = new ArrayList<>();
        private final Set<VmAddress> suspected = new HashSet<>();
        private long version;

        private void set(int count) {
            vms.clear();
            IntStream.range(0, count)
                    .forEach(i -> vms.add(
                            new VmAddress(new VmId("vm" + i), 1, new DataCentreId("recife"), CELL, "127.0.0.1", 7000)));
            version++;
        }

        @Override
        public VmAddress self() {
            return vms.get(0);
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public List<VmAddress> live(CellId cell) {
            return vms;
        }

        @Override
        public List<VmAddress> candidates(CellId cell) {
            return vms;
        }

        @Override
        public boolean isSuspected(VmAddress vm) {
            return suspected.contains(vm);
        }

        @Override
        public boolean isConfirmedGone(VmId vm, long incarnation) {
            return false;
        }
    }
}
