package org.hyssopswitch.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.peer.MessageCodec;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/**
 * Steps the decision cores of a fleet under virtual time. Every message is encoded and decoded by the codec of the
 * peer links; every call to the platform is counted.
 */
public final class Fleet {

    /** Time between two ticks of a VM, as in the settings' default. */
    public static final long TICK_MILLIS = 20;

    private static final long LINK_MILLIS = 1;
    private static final long CALL_MILLIS = 5;

    private final FleetShape shape;
    private final FleetShape declared;
    private final List<FleetVm> vms = new ArrayList<>();
    private final Map<VmAddress, FleetVm> byAddress = new HashMap<>();
    private final FleetPlatform platform = new FleetPlatform();
    private final FleetEndpoints endpoints = new FleetEndpoints();
    private final MessageCodec codec = ControlMessages.codec();
    private final TeamConfigurationCodec declarations = new TeamConfigurationCodec();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final List<Waiting> watches = new ArrayList<>();
    private final SplittableRandom random;
    private long nowMillis;
    private long order;
    private long incarnations = 1;
    private long revision;

    /**
     * Starts all VMs of a fleet whose databases are already declared.
     *
     * @param shape the size
     * @param seed seed of all randomness
     */
    public Fleet(FleetShape shape, long seed) {
        this(shape, shape, seed);
    }

    /**
     * Starts the VMs of one part of a fleet, whose databases are declared for all of it.
     *
     * @param shape the VMs that run
     * @param declared the fleet over whose cells the endpoints are spread; decides the number of databases
     * @param seed seed of all randomness
     */
    public Fleet(FleetShape shape, FleetShape declared, long seed) {
        this.shape = shape;
        this.declared = declared;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < declared.databases(); i++) {
            declare(i);
        }
        List<VmAddress> addresses = FleetDeclarations.vms(shape);
        platform.list(addresses);
        addresses.forEach(a -> vms.add(start(a)));
    }

    /** The VMs. */
    public List<FleetVm> vms() {
        return vms;
    }

    /** Milliseconds of virtual time since the start. */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Writes the subtree of a database to the platform, as an accepted change does.
     *
     * @param index number of the database
     */
    public void declare(int index) {
        revision++;
        TeamConfiguration team = FleetDeclarations.subtree(declared, index, revision);
        endpoints.declare(team);
        platform.write("config/teams/" + team.team(), declarations.encode(team));
    }

    /**
     * Makes the platform unreachable or reachable.
     *
     * @param isUp whether it answers
     */
    public void platformUp(boolean isUp) {
        platform.up(isUp);
    }

    /**
     * Makes an endpoint stop answering.
     *
     * @param endpoint the endpoint
     */
    public void silence(EndpointId endpoint) {
        endpoints.silence(endpoint, nowMillis);
    }

    /**
     * Replaces a VM by a new incarnation without memory.
     *
     * @param index number of the VM
     */
    public void restart(int index) {
        VmAddress old = vms.get(index).self();
        byAddress.remove(old);
        incarnations++;
        VmAddress next = new VmAddress(
                old.vm(), old.incarnation() + incarnations, old.dataCentre(), old.cell(), old.host(), old.port());
        vms.set(index, start(next));
        platform.list(vms.stream().map(FleetVm::self).toList());
    }

    /**
     * Advances virtual time.
     *
     * @param millis milliseconds
     */
    public void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis++;
            step();
        }
    }

    /** Sets all counts to zero. */
    public void clear() {
        vms.forEach(FleetVm::clear);
    }

    /**
     * A mean over all VMs.
     *
     * @param quantity gives a VM's value
     */
    public double mean(ToDoubleFunction<FleetVm> quantity) {
        return vms.stream().mapToDouble(quantity).average().orElse(0);
    }

    private FleetVm start(VmAddress address) {
        List<VmAddress> seeds = FleetDeclarations.vms(shape).stream()
                .filter(a -> a.cell().equals(address.cell()))
                .limit(3)
                .toList();
        FleetVm vm = new FleetVm(address, seeds, random.split());
        byAddress.put(address, vm);
        return vm;
    }

    private void step() {
        while (!due.isEmpty() && due.peek().atMillis() <= nowMillis) {
            Due next = due.poll();
            if (byAddress.get(next.to().self()) == next.to()) {
                perform(next.to(), next.to().handle(next.event(), nowMillis));
            }
        }
        if (nowMillis % CALL_MILLIS == 0) {
            watches.removeIf(this::answerWatch);
        }
        for (int i = 0; i < vms.size(); i++) {
            if ((nowMillis + i) % TICK_MILLIS == 0) {
                perform(vms.get(i), vms.get(i).tick(nowMillis));
            }
        }
    }

    private boolean answerWatch(Waiting waiting) {
        if (nowMillis < waiting.sentMillis() + CALL_MILLIS) {
            return false;
        }
        boolean timedOut = nowMillis - waiting.sentMillis() >= FleetPlatform.WATCH_MILLIS;
        return platform.answer(waiting.watch(), timedOut)
                .map(event -> due.add(new Due(nowMillis + 1, ++order, waiting.from(), event)))
                .isPresent();
    }

    private void perform(FleetVm from, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.SendMessage send) {
                send(from, send);
            } else if (action instanceof Action.CallEndpoint call) {
                long delay = endpoints.answers(call.endpoint()) ? CALL_MILLIS : call.timeoutMillis();
                due.add(new Due(nowMillis + delay, ++order, from, endpoints.answer(call, nowMillis)));
            } else if (action instanceof Action.WatchPrefix watch) {
                from.traffic().call("watch");
                watches.add(new Waiting(from, watch, nowMillis));
            } else {
                callPlatform(from, action);
            }
        }
    }

    private void callPlatform(FleetVm from, Action action) {
        if (action instanceof Action.ReadObject) {
            from.traffic().call("read");
        } else if (action instanceof Action.UpdateObject) {
            from.traffic().call("update");
        } else if (action instanceof Action.ListVms) {
            from.traffic().call("list");
        }
        platform.answer(action).ifPresent(e -> due.add(new Due(nowMillis + CALL_MILLIS, ++order, from, e)));
    }

    private void send(FleetVm from, Action.SendMessage send) {
        long begin = System.nanoTime();
        byte[] frame = codec.encode(send.message()).getOrElseThrow(Fleet::broken);
        from.charge(System.nanoTime() - begin);
        from.traffic().message(ControlMessages.subject(send.message()), frame.length);
        FleetVm to = byAddress.get(send.to());
        if (to == null) {
            due.add(new Due(nowMillis + LINK_MILLIS, ++order, from, new Event.LinkFailed(send.to())));
            return;
        }
        begin = System.nanoTime();
        Event event = new Event.MessageReceived(
                from.self(), codec.decode(ControlMessages.body(frame)).getOrElseThrow(Fleet::broken));
        to.charge(System.nanoTime() - begin);
        due.add(new Due(nowMillis + LINK_MILLIS, ++order, to, event));
    }

    private static HyssopException broken(Failure failure) {
        return new HyssopException("a message did not pass the codec: " + failure.describe());
    }

    private record Due(long atMillis, long order, FleetVm to, Event event) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private record Waiting(FleetVm from, Action.WatchPrefix watch, long sentMillis) {}
}
