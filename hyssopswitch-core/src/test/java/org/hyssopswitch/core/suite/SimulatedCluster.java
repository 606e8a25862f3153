package org.hyssopswitch.core.suite;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.failover.ControlCall;
import org.hyssopswitch.core.failover.ControlKind;
import org.hyssopswitch.core.failover.FailoverSettings;
import org.hyssopswitch.core.failover.SuspicionPolicy;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.message.PeerMessage;

/** Six VMs in three data centres, one database group and the platform, simulated in virtual time. */
final class SimulatedCluster {

    static final DatabaseId DATABASE = new DatabaseId("renewals");
    static final List<String> DATA_CENTRES = List.of("recife", "fortaleza", "salvador");

    private static final long TICK_MILLIS = 10;
    private static final long VM_LIST_DELAY_MILLIS = 2_000;

    final SplittableRandom random;
    final History history = new History();
    final SimulatedPlatform platform = new SimulatedPlatform();
    final Map<EndpointId, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    final List<SimulatedVm> vms = new ArrayList<>();
    final Set<String> isolatedDataCentres = new HashSet<>();
    final Set<EndpointId> endpointsWithoutReplication = new HashSet<>();
    final ProtocolMutation mutation;
    double dropRate;
    double duplicateRate;
    long linkJitterMillis = 1;
    boolean pauseNextCoordinator;
    SimulatedWorkload workload;

    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMillis).thenComparingLong(ScheduledTask::sequence));
    private final Map<VmId, VmAddress> listedVms = new LinkedHashMap<>();
    private final SuspicionPolicy policy;
    private final FailoverSettings settings;
    private Configuration configuration;
    private long nowMillis;
    private long lastSequence;
    private long lastVersion;

    SimulatedCluster(long seed, ProtocolMutation mutation, SuspicionPolicy policy, FailoverSettings settings) {
        this.random = new SplittableRandom(seed);
        this.mutation = mutation;
        this.policy = policy;
        this.settings = settings;
        EndpointId initialPrimary = new EndpointId("e-" + DATA_CENTRES.get(0));
        for (String dc : DATA_CENTRES) {
            SimulatedEndpoint endpoint = new SimulatedEndpoint("e-" + dc, dc, initialPrimary, mutation, history);
            endpoints.put(endpoint.id, endpoint);
        }
        declareEndpoints(Set.of());
        for (String dc : DATA_CENTRES) {
            start(dc + "-1", dc);
            start(dc + "-2", dc);
        }
        scheduleAt(0, this::tick);
    }

    long now() {
        return nowMillis;
    }

    void scheduleAt(long millis, Runnable work) {
        scheduledTasks.add(new ScheduledTask(Math.max(millis, nowMillis), ++lastSequence, work));
    }

    void scheduleAfter(long millis, Runnable work) {
        scheduleAt(nowMillis + millis, work);
    }

    void runUntil(long millis) {
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMillis() <= millis) {
            ScheduledTask task = scheduledTasks.poll();
            nowMillis = task.atMillis();
            task.work().run();
        }
        nowMillis = millis;
    }

    SimulatedEndpoint primary() {
        return endpoints.values().stream()
                .filter(SimulatedEndpoint::isPrimary)
                .max(Comparator.comparingLong(SimulatedEndpoint::term))
                .orElse(endpoints.values().iterator().next());
    }

    /**
     * Returns the home of an endpoint as seen by a VM of the endpoint's data centre, or that VM if it knows no running
     * home. Empty if no VM runs in the data centre.
     */
    Optional<SimulatedVm> homeOf(EndpointId endpoint) {
        Optional<SimulatedVm> localVm = vms.stream()
                .filter(v -> v.address.dataCentre().value().equals(endpoints.get(endpoint).dataCentre))
                .findFirst();
        Optional<SimulatedVm> home = localVm.flatMap(vm -> vm.systems.endpoints().declaration(endpoint).stream()
                .flatMap(e -> vm.systems.homes().homes(e).stream())
                .findFirst()
                .flatMap(this::findRunningVm));
        return home.or(() -> localVm);
    }

    Optional<SimulatedVm> findRunningVm(VmAddress address) {
        return vms.stream().filter(v -> !v.killed && v.address.equals(address)).findFirst();
    }

    /** Declares the group with the given endpoints leaving; every VM receives the configuration within 500 ms. */
    void declareEndpoints(Set<EndpointId> leaving) {
        List<EndpointDeclaration> declared = endpoints.values().stream()
                .map(e -> new EndpointDeclaration(
                        e.id,
                        new DataCentreId(e.dataCentre),
                        new CellId(e.dataCentre),
                        "127.0.0.1",
                        5432,
                        leaving.contains(e.id) && mutation != ProtocolMutation.IGNORE_LEAVING))
                .toList();
        DatabaseDeclaration database = new DatabaseDeclaration(DATABASE, declared, 2, 16);
        List<RouteDeclaration> routes =
                List.of(new RouteDeclaration(new RouteId("lookup"), DATABASE, true, 1_000, true, false));
        TeamId team = new TeamId("mare-alta");
        long version = ++lastVersion;
        configuration = new Configuration(
                version, Map.of(team, new TeamConfiguration(team, version, List.of(database), List.of(), routes)));
        vms.forEach(v -> scheduleAfter(random.nextLong(500), () -> v.configure(configuration)));
        leaving.forEach(e -> history.add(new History.EndpointDeclaredLeaving(nowMillis, e)));
    }

    void kill(SimulatedVm vm) {
        vm.killed = true;
        vms.remove(vm);
        workload.handleVmKilled(vm);
        vms.forEach(v -> scheduleAfter(1, () -> v.deliver(new Event.LinkFailed(vm.address), this::now)));
        scheduleAfter(VM_LIST_DELAY_MILLIS, () -> listedVms.remove(vm.address.vm(), vm.address));
    }

    void start(String name, String dataCentre) {
        VmAddress address = new VmAddress(
                new VmId(name), nowMillis, new DataCentreId(dataCentre), new CellId(dataCentre), "127.0.0.1", 7000);
        List<VmAddress> seeds = vms.stream().map(v -> v.address).toList();
        SimulatedVm vm = new SimulatedVm(address, seeds, random.split(), policy, settings, this::performAction);
        vm.configure(configuration);
        vms.add(vm);
        scheduleAfter(VM_LIST_DELAY_MILLIS, () -> listedVms.put(address.vm(), address));
    }

    void pause(SimulatedVm vm, long millis) {
        vm.pause();
        scheduleAfter(millis, vm::resume);
    }

    /** Delivers a message after the link's delay, unless the link loses it. Workload messages are never duplicated. */
    void send(VmAddress from, VmAddress to, PeerMessage message) {
        if (areSeparated(from.dataCentre().value(), to.dataCentre().value()) || random.nextDouble() < dropRate) {
            return;
        }
        int copies = message instanceof SimulatedWorkload.Message || random.nextDouble() >= duplicateRate ? 1 : 2;
        for (int i = 0; i < copies; i++) {
            scheduleAfter(1 + random.nextLong(linkJitterMillis), () -> deliverMessage(from, to, message));
        }
    }

    private void deliverMessage(VmAddress from, VmAddress to, PeerMessage message) {
        Optional<SimulatedVm> target = findRunningVm(to);
        if (target.isEmpty()) {
            findRunningVm(from).ifPresent(v -> v.deliver(new Event.LinkFailed(to), this::now));
        } else if (message instanceof SimulatedWorkload.Message workloadMessage) {
            target.get().run(() -> workload.handleMessage(target.get(), from, workloadMessage), true);
        } else {
            target.get().deliver(new Event.MessageReceived(from, message), this::now);
        }
    }

    private boolean areSeparated(String a, String b) {
        return !a.equals(b) && (isolatedDataCentres.contains(a) || isolatedDataCentres.contains(b));
    }

    private void tick() {
        SimulatedEndpoint[] all = endpoints.values().toArray(new SimulatedEndpoint[0]);
        for (SimulatedEndpoint replica : all) {
            for (SimulatedEndpoint primary : all) {
                if (replica != primary && !isReplicationInterrupted(replica, primary)) {
                    replica.replicateFrom(primary, nowMillis);
                }
            }
        }
        List.copyOf(vms).forEach(v -> v.tick(nowMillis));
        if (workload != null) {
            workload.tick();
        }
        scheduleAfter(TICK_MILLIS, this::tick);
    }

    private boolean isReplicationInterrupted(SimulatedEndpoint a, SimulatedEndpoint b) {
        return areSeparated(a.dataCentre, b.dataCentre)
                || endpointsWithoutReplication.contains(a.id)
                || endpointsWithoutReplication.contains(b.id);
    }

    private void performAction(SimulatedVm vm, Action action) {
        if (action instanceof Action.SendMessage send) {
            pauseIfCoordinator(vm, send.message());
            send(vm.address, send.to(), send.message());
        } else if (action instanceof Action.CallEndpoint call) {
            callEndpoint(vm, call);
        } else if (action instanceof Action.ReadObject read) {
            callPlatform(vm, read.call(), read);
        } else if (action instanceof Action.UpdateObject update) {
            callPlatform(vm, update.call(), update);
        } else if (action instanceof Action.ListVms && !platform.unavailable) {
            List<VmAddress> live = List.copyOf(listedVms.values());
            scheduleAfter(platform.delayMillis, () -> vm.deliver(new Event.VmsListed(live, List.of()), this::now));
        } else if (action instanceof Action.ResolveCommit resolve) {
            workload.handleCommitResolved(vm, resolve.ticket(), resolve.confirmed());
        } else if (action instanceof Action.ResolveFloor resolve) {
            workload.handleFloorResolved(resolve.ticket(), resolve.floor());
        }
    }

    private void pauseIfCoordinator(SimulatedVm vm, PeerMessage message) {
        if (pauseNextCoordinator && message instanceof ControlCall call && call.kind() == ControlKind.FENCE) {
            pauseNextCoordinator = false;
            scheduleAfter(random.nextLong(4), () -> pause(vm, 5_000));
        }
    }

    private void callPlatform(SimulatedVm vm, long callNumber, Action action) {
        boolean isolated = isolatedDataCentres.contains(vm.address.dataCentre().value());
        scheduleAfter(platform.delayMillis, () -> {
            Either<PlatformFailure, StoredObject> result =
                    isolated ? Either.left(new PlatformFailure.NoAnswer("", "cut")) : platform.call(action);
            boolean unanswered = result.isLeft() && result.getLeft() instanceof PlatformFailure.NoAnswer;
            scheduleAfter(
                    unanswered ? 1_000 : platform.delayMillis,
                    () -> vm.deliver(new Event.ObjectCallCompleted(callNumber, result), this::now));
        });
    }

    private void callEndpoint(SimulatedVm vm, Action.CallEndpoint call) {
        SimulatedEndpoint endpoint = endpoints.get(call.endpoint());
        boolean sameDataCentre =
                endpoint.dataCentre.equals(vm.address.dataCentre().value());
        long deadline = nowMillis + call.timeoutMillis();
        if (!sameDataCentre || endpoint.crashed) {
            answerControlCall(vm, call, Either.left(new PlatformFailure.NoAnswer("", "unreachable")), 1);
            return;
        }
        long delayMillis = Math.min(1 + endpoint.answerDelayMillis, call.timeoutMillis() * 4);
        scheduleAfter(delayMillis, () -> attemptControlCall(vm, call, endpoint, deadline));
    }

    private void attemptControlCall(
            SimulatedVm vm, Action.CallEndpoint call, SimulatedEndpoint endpoint, long deadline) {
        Optional<ControlReply> reply =
                endpoint.crashed ? Optional.empty() : endpoint.handleControl(call.request(), nowMillis);
        if (nowMillis >= deadline) {
            answerControlCall(vm, call, Either.left(new PlatformFailure.NoAnswer("", "timeout")), 0);
        } else if (reply.isPresent()) {
            answerControlCall(vm, call, Either.right(reply.get()), 0);
        } else if (call.request() instanceof ControlRequest.AwaitPosition) {
            scheduleAfter(5, () -> attemptControlCall(vm, call, endpoint, deadline));
        }
    }

    private void answerControlCall(
            SimulatedVm vm, Action.CallEndpoint call, Either<PlatformFailure, ControlReply> result, long delayMillis) {
        scheduleAfter(
                delayMillis,
                () -> vm.deliver(new Event.EndpointCallCompleted(call.call(), call.endpoint(), result), this::now));
    }

    private record ScheduledTask(long atMillis, long sequence, Runnable work) {}
}
