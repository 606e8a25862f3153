package org.hyssopswitch.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipSystemTests {

    private static final CellId CELL = new CellId("recife");
    private static final long SETTLE_MILLIS = 20_000;

    private final FakeNetwork network = new FakeNetwork();

    @ParameterizedTest
    @ValueSource(ints = {2, 6, 48})
    void discoversTheWholeCellFromOneSeedWithoutThePlatform(int size) {
        network.platformDown = true;
        List<MembershipSystem> all = startCell(size);
        network.run(SETTLE_MILLIS);
        all.forEach(s -> assertEquals(size, s.live(CELL).size()));
    }

    @Test
    void declaresOnlyTheUnresponsiveMemberDead() {
        List<MembershipSystem> all = startCell(6);
        network.run(SETTLE_MILLIS);
        network.downVms.add(all.get(3).self());
        network.run(6_000);
        assertFalse(all.get(0).live(CELL).contains(all.get(3).self()));
        assertEquals(5, all.get(0).live(CELL).size());
    }

    @Test
    void probesAnUnreachableMemberIndirectlyBeforeSuspectingIt() {
        List<MembershipSystem> all = startCell(6);
        network.run(SETTLE_MILLIS);
        network.cutLinks.add("vm0-vm3");
        network.cutLinks.add("vm3-vm0");
        network.run(10_000);
        all.forEach(s -> assertEquals(6, s.live(CELL).size()));
    }

    @Test
    void readmitsAPausedMemberOnceItRefutesTheSuspicion() {
        List<MembershipSystem> all = startCell(4);
        network.run(SETTLE_MILLIS);
        network.downVms.add(all.get(1).self());
        network.run(5_000);
        network.downVms.clear();
        network.run(10_000);
        all.forEach(s -> assertEquals(4, s.live(CELL).size()));
        assertFalse(all.get(0).isConfirmedGone(all.get(1).self().vm(), 1));
    }

    @Test
    void treatsARestartedVmAsANewMember() {
        List<MembershipSystem> all = startCell(4);
        network.run(SETTLE_MILLIS);
        VmAddress old = all.get(1).self();
        network.downVms.add(old);
        VmAddress restarted = FakeNetwork.vm("vm1", "recife", 2);
        network.start(restarted, all.get(0).self());
        network.run(10_000);
        assertTrue(all.get(2).live(CELL).contains(restarted));
        assertFalse(all.get(2).live(CELL).contains(old));
        assertTrue(all.get(2).isConfirmedGone(old.vm(), 1));
        assertFalse(all.get(2).isConfirmedGone(old.vm(), 2));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void confirmsADeadMemberAsGoneOnlyAfterItWasListedAndRemoved(boolean listsItself) {
        List<MembershipSystem> all = startCell(4);
        network.listed = addresses(all);
        network.run(SETTLE_MILLIS);
        VmAddress dead = all.get(3).self();
        network.downVms.add(dead);
        network.run(8_000);
        assertFalse(all.get(0).isConfirmedGone(dead.vm(), 1));
        network.listed = listsItself ? addresses(all.subList(0, 3)) : List.of();
        network.run(SETTLE_MILLIS);
        assertEquals(listsItself, all.get(0).isConfirmedGone(dead.vm(), 1));
    }

    @Test
    void neverConfirmsALiveMemberAsGone() {
        List<MembershipSystem> all = startCell(3);
        network.listed = addresses(all);
        network.run(SETTLE_MILLIS);
        network.listed = addresses(all.subList(0, 2));
        network.run(SETTLE_MILLIS);
        assertFalse(all.get(0).isConfirmedGone(all.get(2).self().vm(), 1));
    }

    @Test
    void excludesLeavingMembersFromCandidatesUnlessAllLeave() {
        List<MembershipSystem> all = startCell(2);
        network.run(SETTLE_MILLIS);
        all.get(0).announceLeaving();
        network.run(3_000);
        assertEquals(List.of(all.get(1).self()), all.get(1).candidates(CELL));
        all.get(1).announceLeaving();
        network.run(3_000);
        assertEquals(2, all.get(0).candidates(CELL).size());
    }

    @Test
    void readsLeavingMembersFromThePlatformsList() {
        List<MembershipSystem> all = startCell(3);
        network.listed = addresses(all.subList(0, 2));
        network.listedLeaving = addresses(all.subList(2, 3));
        network.run(SETTLE_MILLIS);
        assertEquals(2, all.get(0).candidates(CELL).size());
    }

    @Test
    void pullsTheViewOfAnotherCellOnceItIsUsed() {
        List<MembershipSystem> all = startCell(5);
        VmAddress otherVm = FakeNetwork.vm("other", "temuco", 1);
        MembershipSystem otherSystem = network.start(otherVm, all.get(4).self());
        network.run(3_000);
        assertEquals(List.of(all.get(4).self()), otherSystem.live(CELL));
        network.run(3_000);
        assertEquals(5, otherSystem.live(CELL).size());
        assertEquals(5, all.get(0).live(CELL).size());
    }

    @Test
    void boundsHeartbeatsPerVmAndListReadsAsTheFleetGrows() {
        double small = messagesPerVm(6);
        double large = messagesPerVm(48);
        System.out.println("membership messages per VM in 100 s: 6 VMs " + small + ", 48 VMs " + large);
        assertTrue(large < small * 1.5, () -> small + " and " + large);
    }

    private static double messagesPerVm(int size) {
        MembershipSystemTests test = new MembershipSystemTests();
        List<MembershipSystem> all = test.startCell(size);
        test.network.listed = addresses(all);
        test.network.run(SETTLE_MILLIS);
        test.network.sentMessageCount = 0;
        test.network.listCallCount = 0;
        test.network.run(100_000);
        assertTrue(test.network.maxUpdatesPerPing <= MemberTable.MAX_UPDATES_PER_MESSAGE);
        assertTrue(test.network.listCallCount <= 150_000 / MembershipSettings.DEFAULT.listIntervalMillisPerVm());
        return (double) test.network.sentMessageCount / size;
    }

    private List<MembershipSystem> startCell(int size) {
        List<MembershipSystem> all = new ArrayList<>();
        VmAddress seed = FakeNetwork.vm("vm0", "recife", 1);
        all.add(network.start(seed));
        IntStream.range(1, size).forEach(i -> all.add(network.start(FakeNetwork.vm("vm" + i, "recife", 1), seed)));
        return all;
    }

    private static List<VmAddress> addresses(List<MembershipSystem> systems) {
        return systems.stream().map(MembershipSystem::self).toList();
    }
}
