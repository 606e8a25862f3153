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

/** Six VMs in three data centres, one database group and the platform, stepped under virtual time. */
final class SuiteCluster {

    static final DatabaseId DATABASE = new DatabaseId("renewals");
    static final List<String> DATA_CENTRES = List.of("recife", "fortaleza", "salvador");

    private static final long TICK_MILLIS = 10;
    private static final long LIST_LAG_MILLIS = 2_000;

    final SplittableRandom random;
    final History history = new History();
    final FakePlatform platform = new FakePlatform();
    final Map<EndpointId, FakeEndpoint> endpoints = new LinkedHashMap<>();
    final List<SuiteVm> vms = new ArrayList<>();
    final Set<String> cutDataCentres = new HashSet<>();
    final Set<EndpointId> cutEndpoints = new HashSet<>();
    final Mutation mutation;
    double dropRate;
    double duplicateRate;
    long linkJitterMillis = 1;
    boolean pauseNextOrderer;
    SuiteWorkload workload;

    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMillis).thenComparingLong(Timed::number));
    private final Map<VmId, VmAddress> listed = new LinkedHashMap<>();
    private final SuspicionPolicy policy;
    private final FailoverSettings settings;
    private Configuration configuration;
    private long nowMillis;
    private long lastNumber;
    private long lastVersion;

    SuiteCluster(long seed, Mutation mutation, SuspicionPolicy policy, FailoverSettings settings) {
        this.random = new SplittableRandom(seed);
        this.mutation = mutation;
        this.policy = policy;
        this.settings = settings;
        EndpointId first = new EndpointId("e-" + DATA_CENTRES.get(0));
        for (String dc : DATA_CENTRES) {
            FakeEndpoint endpoint = new FakeEndpoint("e-" + dc, dc, first, mutation, history);
            endpoints.put(endpoint.id, endpoint);
        }
        declare(Set.of());
        for (String dc : DATA_CENTRES) {
            start(dc + "-1", dc);
            start(dc + "-2", dc);
        }
        at(0, this::tick);
    }

    long now() {
        return nowMillis;
    }

    void at(long millis, Runnable work) {
        queue.add(new Timed(Math.max(millis, nowMillis), ++lastNumber, work));
    }

    void after(long millis, Runnable work) {
        at(nowMillis + millis, work);
    }

    void runUntil(long millis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= millis) {
            Timed next = queue.poll();
            nowMillis = next.atMillis();
            next.work().run();
        }
        nowMillis = millis;
    }

    FakeEndpoint primary() {
        return endpoints.values().stream()
                .filter(FakeEndpoint::isPrimary)
                .max(Comparator.comparingLong(FakeEndpoint::term))
                .orElse(endpoints.values().iterator().next());
    }

    /** The home of an endpoint in the view of a VM of its data centre, when one runs there. */
    Optional<SuiteVm> homeOf(EndpointId endpoint) {
        Optional<SuiteVm> near = vms.stream()
                .filter(v -> v.address.dataCentre().value().equals(endpoints.get(endpoint).dataCentre))
                .findFirst();
        Optional<SuiteVm> home = near.flatMap(n -> n.systems.endpoints().declaration(endpoint).stream()
                .flatMap(e -> n.systems.homes().homes(e).stream())
                .findFirst()
                .flatMap(this::running));
        return home.or(() -> near);
    }

    Optional<SuiteVm> running(VmAddress address) {
        return vms.stream().filter(v -> !v.dead && v.address.equals(address)).findFirst();
    }

    /** Declares the group with some endpoints leaving, to all VMs within half a second. */
    void declare(Set<EndpointId> leaving) {
        List<EndpointDeclaration> declared = endpoints.values().stream()
                .map(e -> new EndpointDeclaration(
                        e.id,
                        new DataCentreId(e.dataCentre),
                        new CellId(e.dataCentre),
                        "127.0.0.1",
                        5432,
                        leaving.contains(e.id) && mutation != Mutation.IGNORE_LEAVING))
                .toList();
        DatabaseDeclaration database = new DatabaseDeclaration(DATABASE, declared, 2, 16);
        List<RouteDeclaration> routes =
                List.of(new RouteDeclaration(new RouteId("lookup"), DATABASE, true, 1_000, true, false));
        TeamId team = new TeamId("mare-alta");
        long version = ++lastVersion;
        configuration = new Configuration(
                version, Map.of(team, new TeamConfiguration(team, version, List.of(database), List.of(), routes)));
        vms.forEach(v -> after(random.nextLong(500), () -> v.configure(configuration)));
        leaving.forEach(e -> history.add(new History.Leaving(nowMillis, e)));
    }

    void kill(SuiteVm vm) {
        vm.dead = true;
        vms.remove(vm);
        workload.vmDied(vm);
        vms.forEach(v -> after(1, () -> v.deliver(new Event.LinkFailed(vm.address), this::now)));
        after(LIST_LAG_MILLIS, () -> listed.remove(vm.address.vm(), vm.address));
    }

    void start(String name, String dataCentre) {
        VmAddress address = new VmAddress(
                new VmId(name), nowMillis, new DataCentreId(dataCentre), new CellId(dataCentre), "127.0.0.1", 7000);
        List<VmAddress> seeds = vms.stream().map(v -> v.address).toList();
        SuiteVm vm = new SuiteVm(address, seeds, random.split(), policy, settings, this::perform);
        vm.configure(configuration);
        vms.add(vm);
        after(LIST_LAG_MILLIS, () -> listed.put(address.vm(), address));
    }

    void pause(SuiteVm vm, long millis) {
        vm.pause();
        after(millis, vm::resume);
    }

    /** Sends a message that the target handles, unless the link loses it. */
    void send(VmAddress from, VmAddress to, PeerMessage message) {
        if (isCut(from.dataCentre().value(), to.dataCentre().value()) || random.nextDouble() < dropRate) {
            return;
        }
        int copies = message instanceof SuiteWorkload.Message || random.nextDouble() >= duplicateRate ? 1 : 2;
        for (int i = 0; i < copies; i++) {
            after(1 + random.nextLong(linkJitterMillis), () -> arrive(from, to, message));
        }
    }

    private void arrive(VmAddress from, VmAddress to, PeerMessage message) {
        Optional<SuiteVm> target = running(to);
        if (target.isEmpty()) {
            running(from).ifPresent(v -> v.deliver(new Event.LinkFailed(to), this::now));
        } else if (message instanceof SuiteWorkload.Message own) {
            target.get().run(() -> workload.received(target.get(), from, own), true);
        } else {
            target.get().deliver(new Event.MessageReceived(from, message), this::now);
        }
    }

    private boolean isCut(String a, String b) {
        return !a.equals(b) && (cutDataCentres.contains(a) || cutDataCentres.contains(b));
    }

    private void tick() {
        FakeEndpoint[] all = endpoints.values().toArray(new FakeEndpoint[0]);
        for (FakeEndpoint replica : all) {
            for (FakeEndpoint primary : all) {
                if (replica != primary && !isGroupCut(replica, primary)) {
                    replica.replicate(primary, nowMillis);
                }
            }
        }
        List.copyOf(vms).forEach(v -> v.tick(nowMillis));
        if (workload != null) {
            workload.tick();
        }
        after(TICK_MILLIS, this::tick);
    }

    private boolean isGroupCut(FakeEndpoint a, FakeEndpoint b) {
        return isCut(a.dataCentre, b.dataCentre) || cutEndpoints.contains(a.id) || cutEndpoints.contains(b.id);
    }

    private void perform(SuiteVm vm, Action action) {
        if (action instanceof Action.SendMessage send) {
            pauseIfOrderer(vm, send.message());
            send(vm.address, send.to(), send.message());
        } else if (action instanceof Action.CallEndpoint call) {
            callEndpoint(vm, call);
        } else if (action instanceof Action.ReadObject read) {
            callPlatform(vm, read.call(), read);
        } else if (action instanceof Action.UpdateObject update) {
            callPlatform(vm, update.call(), update);
        } else if (action instanceof Action.ListVms && !platform.down) {
            List<VmAddress> live = List.copyOf(listed.values());
            after(platform.delayMillis, () -> vm.deliver(new Event.VmsListed(live, List.of()), this::now));
        } else if (action instanceof Action.ResolveCommit resolve) {
            workload.resolved(vm, resolve.ticket(), resolve.confirmed());
        } else if (action instanceof Action.ResolveFloor resolve) {
            workload.floorFound(resolve.ticket(), resolve.floor());
        }
    }

    private void pauseIfOrderer(SuiteVm vm, PeerMessage message) {
        if (pauseNextOrderer && message instanceof ControlCall call && call.kind() == ControlKind.FENCE) {
            pauseNextOrderer = false;
            after(random.nextLong(4), () -> pause(vm, 5_000));
        }
    }

    private void callPlatform(SuiteVm vm, long number, Action action) {
        boolean cut = cutDataCentres.contains(vm.address.dataCentre().value());
        after(platform.delayMillis, () -> {
            Either<PlatformFailure, StoredObject> result =
                    cut ? Either.left(new PlatformFailure.NoAnswer("", "cut")) : platform.call(action);
            boolean silent = result.isLeft() && result.getLeft() instanceof PlatformFailure.NoAnswer;
            after(
                    silent ? 1_000 : platform.delayMillis,
                    () -> vm.deliver(new Event.ObjectCallCompleted(number, result), this::now));
        });
    }

    private void callEndpoint(SuiteVm vm, Action.CallEndpoint call) {
        FakeEndpoint endpoint = endpoints.get(call.endpoint());
        boolean near = endpoint.dataCentre.equals(vm.address.dataCentre().value());
        long deadline = nowMillis + call.timeoutMillis();
        if (!near || endpoint.crashed) {
            answer(vm, call, Either.left(new PlatformFailure.NoAnswer("", "unreachable")), 1);
            return;
        }
        long arrives = Math.min(1 + endpoint.answerDelayMillis, call.timeoutMillis() * 4);
        after(arrives, () -> attempt(vm, call, endpoint, deadline));
    }

    private void attempt(SuiteVm vm, Action.CallEndpoint call, FakeEndpoint endpoint, long deadline) {
        Optional<ControlReply> reply =
                endpoint.crashed ? Optional.empty() : endpoint.control(call.request(), nowMillis);
        if (nowMillis >= deadline) {
            answer(vm, call, Either.left(new PlatformFailure.NoAnswer("", "timeout")), 0);
        } else if (reply.isPresent()) {
            answer(vm, call, Either.right(reply.get()), 0);
        } else if (call.request() instanceof ControlRequest.AwaitPosition) {
            after(5, () -> attempt(vm, call, endpoint, deadline));
        }
    }

    private void answer(
            SuiteVm vm, Action.CallEndpoint call, Either<PlatformFailure, ControlReply> result, long delayMillis) {
        after(
                delayMillis,
                () -> vm.deliver(new Event.EndpointCallCompleted(call.call(), call.endpoint(), result), this::now));
    }

    private record Timed(long atMillis, long number, Runnable work) {}
}
