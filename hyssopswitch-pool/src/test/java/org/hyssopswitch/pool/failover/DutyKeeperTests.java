package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.pool.peer.DutyPing;
import org.hyssopswitch.pool.peer.DutyPong;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.testing.FakePeers;
import org.hyssopswitch.pool.testing.FakeTable;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

class DutyKeeperTests {

    private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");
    private static final long TICK_MILLIS = 20;

    private final ManualLoop loop = new ManualLoop();
    private final FakeTable<DutyRecord> table = new FakeTable<>(loop);
    private final FakePeers network = new FakePeers(loop);
    private final Map<String, DutyKeeper> keepers = new LinkedHashMap<>();
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
        network.cut(first, true);
        loop.advance(4_000);
        String second =
                holders().stream().filter(vm -> !vm.equals(first)).findFirst().orElseThrow();
        promote(second);
        promote(first);
        loop.advance(100);
        assertEquals(1, tokens.size());
        assertFalse(keepers.get(first).held());
    }

    @Test
    void countsPromotionsWithRisingTokensWhileTheStoreIsAway() {
        start();
        loop.advance(2_000);
        String holder = holders().get(0);
        table.away(true);
        promote(holder);
        loop.advance(100);
        promote(holder);
        loop.advance(100);
        table.away(false);
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
                network.cut(VMS.get(random.nextInt(VMS.size())), random.nextBoolean());
                table.away(random.nextInt(5) == 0);
                table.loseAnswers(random.nextInt(5) == 0);
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
                DutyKeeper keeper = keepers.get(vm);
                if (message instanceof DutyPing ping) {
                    keeper.pingReceived(from, ping);
                } else if (message instanceof DutyPong pong) {
                    keeper.pongReceived(from, pong);
                }
            });
            keepers.put(vm, new DutyKeeper(vm, table, loop, new Random(vm.hashCode()), links));
        });
        tick(Map.copyOf(keepers));
    }

    private void tick(Map<String, DutyKeeper> ticked) {
        if (ticked.values().containsAll(keepers.values())) {
            ticked.values().forEach(keeper -> keeper.tick(false));
            loop.schedule(TICK_MILLIS, () -> tick(ticked));
        }
    }

    private List<String> holders() {
        return VMS.stream().filter(vm -> keepers.get(vm).held()).toList();
    }

    private void promote(String vm) {
        keepers.get(vm).countPromotion(record -> record.forEach(counted -> tokens.add(counted.token())));
    }
}
