package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.peer.PrimaryUnreachableReport;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.FakeEndpoint;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/**
 * Guards against the loss of acknowledged commits: a group with one synchronous replica, whose replica e2 has received
 * commits that e3 lacks when the primary e1 crashes.
 */
class SynchronousPromotionTests {

    private static final int VMS = 6;
    private static final int CONNECTIONS = 16;
    private static final long TICK_MILLIS = 20;
    private static final LogPosition ALL_COMMITS = new LogPosition(1, 190);
    private static final LogPosition WITHOUT_THE_LATEST = new LogPosition(1, 100);

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);
    private final FakePeerNetwork network = new FakePeerNetwork(pool.loop());
    private final FakeObjectTable<LeadershipRecord> leadership = new FakeObjectTable<>(pool.loop());
    private final FakeObjectTable<CommitHolders> holders = new FakeObjectTable<>(pool.loop());
    private final FakeObjectTable<FenceRecord> fences = new FakeObjectTable<>(pool.loop());
    private final List<String> promoted = new ArrayList<>();
    private PrimaryFailover failover;
    private boolean stopped;
    private long revision = 100;

    /** Guards against a replica that is no longer counted once it has left, although it alone had the latest commits. */
    @Test
    void promotesNoReplicaThatLacksTheCommitsOfOneThatHasLeft() {
        start();
        list("e2", 1, true);
        pool.advance(500);
        leave("e2");
        crashPrimary();
        awaitPromotion();
        assertEquals(List.of(), promoted);
    }

    /** Guards against a draining replica that is not asked while it still runs. */
    @Test
    void promotesADrainingReplicaThatAloneHasTheLatestCommits() {
        start();
        list("e2", 1, true);
        pool.advance(500);
        crashPrimary();
        pool.advance(800);
        assertEquals(List.of("e2"), promoted);
    }

    /** Guards against the promotion of a lagging replica after the one that was promoted first has left. */
    @Test
    void promotesOnlyTheSuccessorOfAPromotedReplicaThatHasLeft() {
        promotesADrainingReplicaThatAloneHasTheLatestCommits();
        FakeEndpoint e2 = pool.endpoint("e2");
        e2.setPrimary(true);
        list("e2", 1, true);
        pool.advance(200);
        leave("e2");
        pool.removeEndpoint("e1", VMS);
        awaitPromotion();
        assertEquals(List.of("e2"), promoted);
        startSuccessorOfE2(ALL_COMMITS);
        awaitPromotion();
        assertEquals(List.of("e2", "e4"), promoted.stream().distinct().toList());
    }

    /** Guards against a lapsed entry that is taken for a replica without commits. */
    @Test
    void promotesNoReplicaThatLacksTheCommitsOfOneWhoseEntryHasLapsed() {
        start();
        pool.advance(500);
        pool.removeEndpoint("e2", VMS);
        pool.advance(3_000);
        crashPrimary();
        awaitPromotion();
        assertEquals(List.of(), promoted);
        list("e2", 1, false);
        awaitPromotion();
        assertEquals("e2", promoted.get(0));
    }

    /** Guards against a lapsed replica that is forgotten while it is partitioned from the VMs and the store. */
    @Test
    void keepsALapsedReplicaThatIsSilent() {
        start();
        pool.advance(500);
        pool.endpoint("e2").setUnresponsive(true);
        pool.removeEndpoint("e2", VMS);
        pool.advance(3_000);
        crashPrimary();
        awaitPromotion();
        assertEquals(List.of(), promoted);
    }

    /** Guards against a new leader that knows only the replicas that are listed when it starts. */
    @Test
    void remembersAReplicaThatLeftBeforeTheLeaderStarted() {
        start();
        list("e2", 1, true);
        pool.advance(500);
        leave("e2");
        stopped = true;
        pool.endpoint("e1").crash();
        pool.advance(200);
        startFailover();
        crashPrimary();
        awaitPromotion();
        assertEquals(List.of(), promoted);
    }

    /** Guards against a replica that started again without its log and is taken for the one that had the commits. */
    @Test
    void doesNotTakeARestartedReplicaForTheOneThatHadTheCommits() {
        start();
        pool.advance(500);
        pool.endpoint("e2").setPosition(new LogPosition(1, 5));
        pool.endpoint("e1").crash();
        list("e2", 2, false);
        crashPrimary();
        awaitPromotion();
        assertEquals(List.of(), promoted);
    }

    @Test
    void promotesTheSuccessorOfAReplicaThatHasLeft() {
        promotesNoReplicaThatLacksTheCommitsOfOneThatHasLeft();
        startSuccessorOfE2(ALL_COMMITS);
        awaitPromotion();
        assertEquals("e4", promoted.get(0));
    }

    /** Guards against a replica lost for good that keeps every later primary from being replaced. */
    @Test
    void forgetsAReplicaThatHasEndedOnceAnotherHasItsCommits() {
        start();
        pool.advance(500);
        leave("e2");
        pool.endpoint("e1").setPosition(ALL_COMMITS);
        pool.endpoint("e3").setPosition(ALL_COMMITS);
        pool.advance(3_000);
        crashPrimary();
        awaitPromotion();
        assertEquals("e3", promoted.get(0));
    }

    /** Guards against a leader that takes a record it could not read for an empty one. */
    @Test
    void promotesNoneWhileTheRecordOfHoldersCannotBeRead() {
        holders.setUnavailable(true);
        start();
        crashPrimary();
        awaitPromotion();
        assertEquals(List.of(), promoted);
        holders.setUnavailable(false);
        awaitPromotion();
        assertEquals("e2", promoted.get(0));
    }

    private void start() {
        pool.configure(TestPool.catalog(CONNECTIONS, 1, Map.of(TestPool.KEY, TestPool.account("small"))), VMS);
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        startFailover();
        caller.read("warm");
        pool.advance(1_500);
        pool.endpoint("e1").setPosition(ALL_COMMITS);
        pool.endpoint("e2").setPosition(ALL_COMMITS);
        pool.endpoint("e3").setPosition(WITHOUT_THE_LATEST);
    }

    private void startFailover() {
        stopped = false;
        PrimaryFailover started = new PrimaryFailover(
                "vm-1",
                pool.groups(),
                (order, done) -> {
                    promoted.add(order.endpoint());
                    pool.loop().schedule(5, () -> done.accept(PromotionAuthority.Answer.ACCEPTED));
                },
                new FailoverTables(leadership, holders, fences),
                new StoreEraTracker(),
                pool.loop(),
                new Random(1),
                network.join("vm-1", (from, message) -> failover.received(from, message)));
        failover = started;
        started.setFleetSize(VMS);
        tick(started);
    }

    private void tick(PrimaryFailover ticked) {
        if (!stopped || ticked != failover) {
            ticked.tick();
            pool.loop().schedule(TICK_MILLIS, () -> tick(ticked));
        }
    }

    private void list(String id, long born, boolean draining) {
        Endpoint entry = pool.endpoint(id).entry("group", "dc-" + id, ++revision);
        pool.updateEndpoint(
                new Endpoint(
                        id,
                        entry.group(),
                        entry.host(),
                        entry.port(),
                        entry.dataCentre(),
                        draining,
                        entry.primary(),
                        born,
                        0,
                        new StorePosition(0, revision)),
                VMS);
    }

    private void leave(String id) {
        pool.endpoint(id).crash();
        pool.removeEndpoint(id, VMS);
    }

    /** Lists a replica with the log of e2 at the address that e2 had. */
    private void startSuccessorOfE2(LogPosition received) {
        Endpoint address = pool.endpoint("e2").entry("group", "dc-e2", ++revision);
        pool.addEndpoint("e4", CONNECTIONS).setPosition(received);
        pool.updateEndpoint(
                new Endpoint(
                        "e4",
                        address.group(),
                        address.host(),
                        address.port(),
                        address.dataCentre(),
                        false,
                        false,
                        9,
                        0,
                        new StorePosition(0, revision)),
                VMS);
    }

    private void crashPrimary() {
        pool.endpoint("e1").crash();
        reportUnreachable();
    }

    private void awaitPromotion() {
        for (int i = 0; i < 10; i++) {
            reportUnreachable();
            pool.advance(300);
        }
    }

    private void reportUnreachable() {
        for (int vm = 2; vm <= VMS; vm++) {
            failover.received("vm-" + vm, new PrimaryUnreachableReport("group", "e1"));
        }
    }
}
