package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.pool.peer.LeadershipPing;
import org.hyssopswitch.pool.peer.LeadershipPong;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

class PromotionLeaderElectionTests {

    private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");
    private static final long TICK_MILLIS = 20;

    private final ManualLoop loop = new ManualLoop();
    private final FakeObjectTable<LeadershipRecord> table = new FakeObjectTable<>(loop);
    private final FakePeerNetwork network = new FakePeerNetwork(loop);
    private final Map<String, PromotionLeaderElection> elections = new LinkedHashMap<>();
    private final List<Long> tokens = new ArrayList<>();

    @Test
    void electsOneLeader() {
        start();
        loop.advance(2_000);
        assertEquals(1, leaders().size());
    }

    @Test
    void keepsTheLeaderWhileItResponds() {
        start();
        loop.advance(2_000);
        List<String> first = leaders();
        loop.advance(30_000);
        assertEquals(first, leaders());
    }

    @Test
    void replacesAnUnreachableLeaderAndRefusesItsLaterPromotions() {
        start();
        loop.advance(2_000);
        String first = leaders().get(0);
        network.setPartitioned(first, true);
        loop.advance(4_000);
        String second =
                leaders().stream().filter(vm -> !vm.equals(first)).findFirst().orElseThrow();
        promote(second);
        promote(first);
        loop.advance(100);
        assertEquals(1, tokens.size());
        assertFalse(elections.get(first).isLeader());
    }

    @Test
    void recordsPromotionsWithRisingTokensWhileTheStoreIsUnavailable() {
        start();
        loop.advance(2_000);
        String leader = leaders().get(0);
        table.setUnavailable(true);
        promote(leader);
        loop.advance(100);
        promote(leader);
        loop.advance(100);
        table.setUnavailable(false);
        promote(leader);
        loop.advance(100);
        assertEquals(3, tokens.size());
        assertTrue(tokens.get(0) < tokens.get(1) && tokens.get(1) < tokens.get(2), tokens.toString());
    }

    @Test
    void neverIssuesATokenTwiceUnderPartitionsAndLostResponses() {
        for (int seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            elections.clear();
            tokens.clear();
            start();
            for (int step = 0; step < 60; step++) {
                network.setPartitioned(VMS.get(random.nextInt(VMS.size())), random.nextBoolean());
                table.setUnavailable(random.nextInt(5) == 0);
                table.setDropResponses(random.nextInt(5) == 0);
                VMS.forEach(this::promote);
                loop.advance(random.nextInt(1_500));
            }
            loop.advance(5_000);
            assertEquals(tokens.size(), tokens.stream().distinct().count(), "seed " + seed + ": " + tokens);
            assertFalse(tokens.isEmpty());
        }
    }

    private void start() {
        VMS.forEach(vm -> {
            PeerLinks links = network.join(vm, (from, message) -> {
                PromotionLeaderElection election = elections.get(vm);
                if (message instanceof LeadershipPing ping) {
                    election.pingReceived(from, ping);
                } else if (message instanceof LeadershipPong pong) {
                    election.pongReceived(from, pong);
                }
            });
            elections.put(vm, new PromotionLeaderElection(vm, table, loop, new Random(vm.hashCode()), links));
        });
        tick(Map.copyOf(elections));
    }

    private void tick(Map<String, PromotionLeaderElection> ticked) {
        if (ticked.values().containsAll(elections.values())) {
            ticked.values().forEach(election -> election.tick(false));
            loop.schedule(TICK_MILLIS, () -> tick(ticked));
        }
    }

    private List<String> leaders() {
        return VMS.stream().filter(vm -> elections.get(vm).isLeader()).toList();
    }

    private void promote(String vm) {
        elections.get(vm).recordPromotion(record -> record.forEach(counted -> tokens.add(counted.fencingToken())));
    }
}
