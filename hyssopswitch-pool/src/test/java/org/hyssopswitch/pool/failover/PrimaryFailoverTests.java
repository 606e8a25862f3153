package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.PrimaryUnreachableReport;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** A promotion leader and a group whose primary fails or drains. */
class PrimaryFailoverTests {

    private static final int VMS = 6;
    private static final long TICK_MILLIS = 20;

    private final TestPool pool = new TestPool(16, VMS);
    private final FakePeerNetwork network = new FakePeerNetwork(pool.loop());
    private final List<PromotionAuthority.Order> orders = new ArrayList<>();
    private final FakeCaller caller = pool.connectCaller(TestPool.LATEST);
    private PromotionAuthority.Answer answer = PromotionAuthority.Answer.ACCEPTED;
    private PrimaryFailover failover;

    @Test
    void promotesTheMostAdvancedReplicaOfACrashedPrimary() {
        start();
        pool.endpoint("e2").setPosition(new LogPosition(1, 12));
        pool.endpoint("e3").setPosition(new LogPosition(1, 15));
        pool.endpoint("e1").crash();
        reportFromOthers(2);
        pool.advance(500);
        assertEquals(List.of("e3"), promoted());
    }

    @Test
    void keepsAPrimaryThatOnlyThisVmCannotReach() {
        start();
        pool.endpoint("e1").crash();
        pool.advance(3_000);
        assertEquals(List.of(), promoted());
    }

    @Test
    void keepsAPrimaryThatOnlyTheVmsOfOneDataCentreCannotReach() {
        start();
        pool.endpoint("e1").crash();
        for (int i = 0; i < 20; i++) {
            reportFromOthers(1);
            pool.advance(200);
        }
        assertEquals(List.of(), promoted());
    }

    @Test
    void replacesAPrimaryThatHalfOfTheVmsCannotReach() {
        start();
        reportFromOthers(3);
        pool.advance(200);
        assertEquals(1, promoted().size());
    }

    @Test
    void waitsForAllReplicasOfAGroupWithSynchronousCommits() {
        start();
        pool.configure(TestPool.catalog(16, 1, Map.of(TestPool.KEY, TestPool.account("small"))), VMS);
        pool.endpoint("e2").crash();
        pool.endpoint("e1").crash();
        for (int i = 0; i < 10; i++) {
            reportFromOthers(2);
            pool.advance(300);
        }
        assertEquals(List.of(), promoted());
    }

    @Test
    void handsOverFromAPrimaryThatIsAboutToStop() {
        start();
        drainPrimary();
        pool.advance(500);
        assertEquals(1, promoted().size());
        assertFalse(pool.endpoint("e1").isPrimary());
    }

    /** Guards against writes that are acknowledged after the choice of the target, on a leader that has no callers. */
    @Test
    void stepsDownAPrimaryWhoseTermThisVmHasNotSeen() {
        startWithoutCallers();
        pool.endpoint("e1").setPosition(new LogPosition(7, 10));
        pool.endpoint("e2").setPosition(new LogPosition(7, 10));
        assertEquals(-1, pool.group().term());
        drainPrimary();
        pool.advance(500);
        assertEquals(1, promoted().size());
        assertFalse(pool.endpoint("e1").isPrimary());
    }

    @Test
    void repeatsAnOrderWithoutAnAnswerUnderTheSameToken() {
        start();
        answer = PromotionAuthority.Answer.UNKNOWN;
        pool.endpoint("e1").crash();
        reportFromOthers(2);
        pool.advance(700);
        assertTrue(orders.size() >= 2, orders.toString());
        assertEquals(1, orders.stream().distinct().count());
    }

    @Test
    void repeatsNoOrderOnceThePrimaryIsUsableAgain() {
        start();
        answer = PromotionAuthority.Answer.UNKNOWN;
        pool.endpoint("e1").crash();
        reportFromOthers(2);
        pool.advance(150);
        assertEquals(1, orders.size());
        pool.endpoint("e1").restart();
        pool.advance(3_000);
        assertEquals(1, orders.size());
    }

    @Test
    void raisesTheTokenWithEachPromotion() {
        start();
        answer = PromotionAuthority.Answer.REJECTED;
        pool.endpoint("e1").crash();
        for (int i = 0; i < 20; i++) {
            reportFromOthers(2);
            pool.advance(300);
        }
        List<Long> tokens = orders.stream().map(PromotionAuthority.Order::token).toList();
        assertTrue(tokens.size() >= 2, tokens.toString());
        assertEquals(tokens.stream().distinct().sorted().toList(), tokens);
    }

    private void start() {
        startWithoutCallers();
        caller.read("warm");
        pool.advance(1_500);
        assertTrue(caller.lastReply().succeeded());
    }

    private void startWithoutCallers() {
        PeerLinks links = network.join("vm-1", (from, message) -> failover.received(from, message));
        failover = new PrimaryFailover(
                "vm-1",
                pool.groups(),
                (order, done) -> {
                    orders.add(order);
                    pool.loop().schedule(5, () -> done.accept(answer));
                },
                new FailoverTables(
                        new FakeObjectTable<>(pool.loop()),
                        new FakeObjectTable<>(pool.loop()),
                        new FakeObjectTable<>(pool.loop())),
                new StoreEraTracker(),
                pool.loop(),
                new Random(1),
                links);
        failover.setFleetSize(VMS);
        tick();
        pool.advance(1_500);
    }

    private void tick() {
        failover.tick();
        pool.loop().schedule(TICK_MILLIS, this::tick);
    }

    private void reportFromOthers(int vms) {
        for (int i = 0; i < vms; i++) {
            failover.received("vm-" + (i + 2), new PrimaryUnreachableReport("group", "e1"));
        }
    }

    private void drainPrimary() {
        pool.updateEndpoint(pool.endpoint("e1").entry("group", "dc-e1", true, 7), VMS);
    }

    private List<String> promoted() {
        return orders.stream().map(PromotionAuthority.Order::endpoint).toList();
    }
}
