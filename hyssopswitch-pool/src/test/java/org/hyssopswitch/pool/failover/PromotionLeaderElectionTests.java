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
    private final Map<String, PromotionLeaderElection> keepers = new LinkedHashMap<>();
    private final List<Long> tokens = new ArrayList<>();

    @Test
    void letsOneVmTakeTheDuty() {
        start();
        loop.advance(2_000);
        assertEquals(1, holders().size());
    }

    @Test
    void keepsTheHolderWhileItAnswers() {
        start();
        loop.advance(2_000);
        List<String> first = holders();
        loop.advance(30_000);
        assertEquals(first, holders());
    }

    @Test
    void replacesAHolderThatIsCutOffAndRefusesItsLaterPromotions() {
        start();
        loop.advance(2_000);
        String first = holders().get(0);
        network.setPartitioned(first, true);
        loop.advance(4_000);
        String second =
                holders().stream().filter(vm -> !vm.equals(first)).findFirst().orElseThrow();
        promote(second);
        promote(first);
        loop.advance(100);
        assertEquals(1, tokens.size());
        assertFalse(keepers.get(first).isLeader());
    }

    @Test
    void countsPromotionsWithRisingTokensWhileTheStoreIsAway() {
        start();
        loop.advance(2_000);
        String holder = holders().get(0);
        table.setUnavailable(true);
        promote(holder);
        loop.advance(100);
        promote(holder);
        loop.advance(100);
        table.setUnavailable(false);
        promote(holder);
        loop.advance(100);
        assertEquals(3, tokens.size());
        assertTrue(tokens.get(0) < tokens.get(1) && tokens.get(1) < tokens.get(2), tokens.toString());
    }

    @Test
    void neverGivesOutATokenTwiceWhenVmsAreCutOffAndAnswersAreLost() {
        for (int seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            keepers.clear();
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
                PromotionLeaderElection keeper = keepers.get(vm);
                if (message instanceof LeadershipPing ping) {
                    keeper.pingReceived(from, ping);
                } else if (message instanceof LeadershipPong pong) {
                    keeper.pongReceived(from, pong);
                }
            });
            keepers.put(vm, new PromotionLeaderElection(vm, table, loop, new Random(vm.hashCode()), links));
        });
        tick(Map.copyOf(keepers));
    }

    private void tick(Map<String, PromotionLeaderElection> ticked) {
        if (ticked.values().containsAll(keepers.values())) {
            ticked.values().forEach(keeper -> keeper.tick(false));
            loop.schedule(TICK_MILLIS, () -> tick(ticked));
        }
    }

    private List<String> holders() {
        return VMS.stream().filter(vm -> keepers.get(vm).isLeader()).toList();
    }

    private void promote(String vm) {
        keepers.get(vm).recordPromotion(record -> record.forEach(counted -> tokens.add(counted.fencingToken())));
    }
}
