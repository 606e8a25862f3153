package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.peer.PrimaryUnreachableReport;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;
import org.hyssopswitch.pool.testing.FakeEndpoint;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.FakePeerNetwork;
import org.hyssopswitch.pool.testing.FakeReplication;
import org.hyssopswitch.pool.testing.TestPool;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Two VMs that may lead promotions, and a group with one synchronous replica whose primary commits all the time. */
final class SynchronousFleet {

    private static final int VMS = 6;
    private static final int CONNECTIONS = 16;
    private static final long TICK_MILLIS = 20;

    private static final long REPORT_PERIOD_MILLIS = 250;
    private static final long LIST_PERIOD_MILLIS = 300;

    /** Time until a leader is elected and has read its records, milliseconds. */
    private static final long START_MILLIS = 2_000;

    private static final List<String> ENDPOINTS = List.of("e1", "e2", "e3");

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);
    private final FakePeerNetwork network = new FakePeerNetwork(pool.loop());
    private final FakeObjectTable<LeadershipRecord> leadership = new FakeObjectTable<>(pool.loop());
    private final FakeObjectTable<CommitHolders> holders = new FakeObjectTable<>(pool.loop());
    private final FakeObjectTable<FenceRecord> fences = new FakeObjectTable<>(pool.loop());
    private final Random random;
    private final Random callers;
    private final FakeReplication replication;
    private final List<Candidate> candidates = new ArrayList<>();
    private final List<String> draining = new ArrayList<>();
    private final List<String> members = new ArrayList<>(ENDPOINTS);
    private int promotions;
    private long listDelayMillis;
    private long revision = 100;

    SynchronousFleet(long seed) {
        random = new Random(seed);
        callers = new Random(seed);
        pool.configure(TestPool.catalog(CONNECTIONS, 1, Map.of(TestPool.KEY, TestPool.account("small"))), VMS);
        replication = new FakeReplication(
                pool.loop(), ENDPOINTS.stream().map(pool::endpoint).toList(), random, new Listener());
        candidates.add(new Candidate("vm-1"));
        candidates.add(new Candidate("vm-2"));
        listAll();
        advance(START_MILLIS);
    }

    FakeReplication replication() {
        return replication;
    }

    FakeEndpoint endpoint(String id) {
        return pool.endpoint(id);
    }

    FakePeerNetwork network() {
        return network;
    }

    Random random() {
        return random;
    }

    void advance(long millis) {
        pool.advance(millis);
    }

    /** Makes the lists of endpoints that the VMs see old. */
    void setListDelayMillis(long millis) {
        listDelayMillis = millis;
    }

    /** Starts another replica. */
    FakeEndpoint addReplica() {
        String id = "e" + (members.size() + 1);
        FakeEndpoint added = pool.addEndpoint(id, CONNECTIONS);
        members.add(id);
        replication.join(added);
        return added;
    }

    /** Returns the names of the endpoints that have started so far. */
    List<String> members() {
        return List.copyOf(members);
    }

    /** Cuts the primary off from all replicas that run now, for a while. */
    void cutPrimaryFromReplicas(long millis) {
        List<FakeEndpoint> replicas = members.stream()
                .map(this::endpoint)
                .filter(one -> !one.isPrimary())
                .toList();
        replicas.forEach(one -> replication.setDeaf(one, true));
        later(millis, () -> replicas.forEach(one -> replication.setDeaf(one, false)));
    }

    void assertCallersWereToldOfNothingLost() {
        assertEquals(List.of(), replication.toldAndLost());
    }

    /** Returns the number of promotions that have taken effect. */
    int promotions() {
        return promotions;
    }

    long pausedReplicas() {
        return members.stream().filter(id -> endpoint(id).isPaused()).count();
    }

    FakeEndpoint pausedEndpoint() {
        return members.stream()
                .map(this::endpoint)
                .filter(FakeEndpoint::isPaused)
                .findFirst()
                .orElseThrow();
    }

    void assertNothingLost() {
        assertEquals(List.of(), replication.lost());
    }

    void assertNothingPaused() {
        assertEquals(0, pausedReplicas());
    }

    /** Some VMs report to all candidates that they cannot reach the endpoint that leads now. */
    void reportCut(int vms) {
        report(vms, pool.group().primary().map(Endpoint::id).getOrElse(""));
    }

    /** Some VMs report for a while that they cannot reach the endpoint that leads now. */
    void reportCutFor(int vms, long millis) {
        long until = pool.loop().nowMillis() + millis;
        String primary = pool.group().primary().map(Endpoint::id).getOrElse("");
        reportUntil(until, vms, primary);
    }

    private void reportUntil(long untilMillis, int vms, String primary) {
        if (pool.loop().nowMillis() < untilMillis) {
            report(vms, primary);
            pool.loop().schedule(REPORT_PERIOD_MILLIS, () -> reportUntil(untilMillis, vms, primary));
        }
    }

    private void report(int vms, String primary) {
        for (int i = 0; i < vms; i++) {
            String vm = "vm-" + (VMS - i);
            candidates.forEach(one -> one.failover.received(vm, new PrimaryUnreachableReport("group", primary)));
        }
    }

    /** Schedules a task of the test. */
    void later(long delayMillis, Runnable task) {
        pool.loop().schedule(delayMillis, task);
    }

    /** The endpoint that leads announces that it stops. */
    void drainPrimary() {
        replication.primary().forEach(primary -> {
            draining.add(primary.id());
            list(primary);
        });
    }

    /** Endpoints that were to stop stay, which saves their successors. */
    void endDrains() {
        List<String> ended = List.copyOf(draining);
        draining.clear();
        ended.forEach(id -> list(endpoint(id)));
    }

    /** Ends the process that leads, between two calls. */
    void stopLeader() {
        candidates.stream()
                .filter(one -> one.running && one.failover.isLeader())
                .forEach(one -> one.running = false);
    }

    /** Starts the processes that have ended again. */
    void startStopped() {
        candidates.replaceAll(one -> one.running ? one : new Candidate(one.name));
    }

    void setStoreUnavailable(boolean unavailable) {
        leadership.setUnavailable(unavailable);
        holders.setUnavailable(unavailable);
        fences.setUnavailable(unavailable);
    }

    void setStoreDropsResponses(boolean drop) {
        leadership.setDropResponses(drop);
        holders.setDropResponses(drop);
        fences.setDropResponses(drop);
    }

    /** Has one of the VMs tell its caller of each commit, once it may. */
    private final class Listener implements FakeReplication.Listener {

        @Override
        public void promoted(FakeEndpoint target) {
            promotions++;
        }

        @Override
        public void acknowledged(LogPosition commit) {
            if (!candidates.isEmpty()) {
                candidates.get(callers.nextInt(candidates.size())).tellOnceConfirmed(commit);
            }
        }
    }

    /** The endpoints write how they see themselves. */
    private void listAll() {
        members.forEach(id -> list(endpoint(id)));
        pool.loop().schedule(LIST_PERIOD_MILLIS, this::listAll);
    }

    private void list(FakeEndpoint endpoint) {
        String id = endpoint.id();
        Endpoint entry = endpoint.entry("group", "dc-" + id, draining.contains(id), ++revision);
        if (listDelayMillis == 0) {
            pool.updateEndpoint(entry, VMS);
        } else {
            later(listDelayMillis, () -> pool.updateEndpoint(entry, VMS));
        }
    }

    /** One process that may lead. Once it has ended, nothing that it began goes on. */
    private final class Candidate {

        private final String name;
        private final PrimaryFailover failover;
        private boolean running = true;

        Candidate(String name) {
            this.name = name;
            this.failover = new PrimaryFailover(
                    name,
                    pool.groups(),
                    (order, done) -> {
                        if (running) {
                            replication.promote(order, answer -> ifRunning(() -> done.accept(answer)));
                        }
                    },
                    new FailoverTables(table(leadership), table(holders), table(fences)),
                    new StoreEraTracker(),
                    new ProcessLoop(),
                    new Random(random.nextLong()),
                    network.join(name, (from, message) -> ifRunning(() -> received(from, message))));
            failover.setFleetSize(VMS);
            tick();
        }

        private void tellOnceConfirmed(LogPosition commit) {
            ifRunning(() -> failover.commitGuard().confirm("group", Option.some(commit), kept -> {
                if (kept) {
                    replication.tell(commit);
                }
            }));
        }

        private void received(String from, PeerMessage message) {
            failover.received(from, message);
        }

        private void tick() {
            ifRunning(() -> {
                failover.tick();
                pool.loop().schedule(TICK_MILLIS, this::tick);
            });
        }

        private void ifRunning(Runnable task) {
            if (running) {
                task.run();
            }
        }

        private <T> ObjectTable<T> table(FakeObjectTable<T> shared) {
            return new ProcessTable<>(shared.client(new StoreEraTracker()));
        }

        private final class ProcessLoop implements DecisionLoop {

            @Override
            public long nowMillis() {
                return pool.loop().nowMillis();
            }

            @Override
            public void execute(Runnable task) {
                pool.loop().execute(() -> ifRunning(task));
            }

            @Override
            public Timer schedule(long delayMillis, Runnable task) {
                return pool.loop().schedule(delayMillis, () -> ifRunning(task));
            }
        }

        private final class ProcessTable<T> implements ObjectTable<T> {

            private final ObjectTable<T> table;

            ProcessTable(ObjectTable<T> table) {
                this.table = table;
            }

            @Override
            public void list(boolean allowStale, Consumer<Either<StoreFailure, Listing<T>>> done) {
                ifRunning(() -> table.list(allowStale, result -> ifRunning(() -> done.accept(result))));
            }

            @Override
            public void watch(StorePosition from, long maxWaitMillis, Consumer<Either<StoreFailure, Listing<T>>> done) {
                ifRunning(() -> table.watch(from, maxWaitMillis, result -> ifRunning(() -> done.accept(result))));
            }

            @Override
            public void read(String objectName, Consumer<Either<StoreFailure, Option<VersionedObject<T>>>> done) {
                ifRunning(() -> table.read(objectName, result -> ifRunning(() -> done.accept(result))));
            }

            @Override
            public void write(
                    String objectName,
                    Option<StorePosition> expected,
                    T value,
                    Consumer<Either<StoreFailure, VersionedObject<T>>> done) {
                ifRunning(
                        () -> table.write(objectName, expected, value, result -> ifRunning(() -> done.accept(result))));
            }
        }
    }
}
