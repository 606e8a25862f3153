package org.hyssopswitch.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Steps the limit systems of several VMs under virtual time, over links that can delay, drop, duplicate and be
 * partitioned.
 */
final class LimitFleet {

    static final long TICK_MILLIS = 10;
    private static final long LINK_MILLIS = 1;
    private static final long END_CONFIRMATION_DELAY_MILLIS = 3_000;

    private final List<LimitVm> vms = new ArrayList<>();
    private final List<LimitVm> ended = new ArrayList<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private final Set<VmAddress> leaving = new HashSet<>();
    private final Set<Set<DataCentreId>> partitions = new HashSet<>();
    private final SplittableRandom random;
    private final LimitSettings settings;
    private final LimitMutation mutation;
    private final FakeObjectStore platform;
    private Configuration configuration = Configuration.EMPTY;
    private long now;
    private long order;
    private double dropProbability;
    private double duplicateProbability;
    private long maxExtraDelayMillis;
    private long messages;

    LimitFleet(int dataCentres, int vmsPerDataCentre, LimitSettings settings, LimitMutation mutation, long seed) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
        this.mutation = mutation;
        this.platform = new FakeObjectStore(random.split());
        for (int d = 0; d < dataCentres; d++) {
            for (int v = 0; v < vmsPerDataCentre; v++) {
                vms.add(start("vm" + d + "-" + v, 1, new DataCentreId("dc" + d), new CellId("cell" + d)));
            }
        }
    }

    List<LimitVm> vms() {
        return vms;
    }

    FakeObjectStore platform() {
        return platform;
    }

    long now() {
        return now;
    }

    /** Returns a number that changes whenever the candidates change. */
    long viewVersion() {
        return ended.size() + 1_000L * leaving.size();
    }

    /** Returns the number of messages sent between VMs. */
    long messages() {
        return messages;
    }

    void configure(Configuration next) {
        configuration = next;
        vms.forEach(vm -> schedule(vm, random.nextInt(2_000), null, null));
    }

    void restart(int index) {
        LimitVm old = vms.get(index);
        old.end(now);
        ended.add(old);
        VmAddress a = old.self();
        LimitVm next = start(a.vm().value(), a.incarnation() + 1, a.dataCentre(), a.cell());
        vms.set(index, next);
        next.configure(configuration, now);
    }

    void setPartitioned(DataCentreId one, DataCentreId other, boolean partitioned) {
        if (partitioned && !one.equals(other)) {
            partitions.add(Set.of(one, other));
        } else {
            partitions.removeIf(pair -> pair.contains(one) && pair.contains(other));
        }
    }

    void setLinkFaults(double drop, double duplicate, long maxDelayMillis) {
        dropProbability = drop;
        duplicateProbability = duplicate;
        maxExtraDelayMillis = maxDelayMillis;
    }

    /** Advances virtual time by one millisecond. */
    void step() {
        now++;
        while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= now) {
            deliver(deliveries.poll());
        }
        for (int i = 0; i < vms.size(); i++) {
            LimitVm vm = vms.get(i);
            if ((now + i) % TICK_MILLIS == 0 && vm.isRunning(now)) {
                vm.system().tick(vm.localMillis(now), outbox(vm));
            }
        }
    }

    Outbox outbox(LimitVm from) {
        return action -> perform(from, action);
    }

    /** Removes a VM from the candidates for new work. */
    void markLeaving(LimitVm vm) {
        leaving.add(vm.self());
    }

    List<VmAddress> members(CellId cell) {
        return vms.stream()
                .map(LimitVm::self)
                .filter(a -> a.cell().equals(cell) && !leaving.contains(a))
                .toList();
    }

    boolean isSuspected(VmAddress address) {
        return vms.stream().anyMatch(v -> v.self().equals(address) && !v.isRunning(now));
    }

    boolean isConfirmedGone(VmId vm, long incarnation) {
        boolean gone = ended.stream()
                .anyMatch(v -> v.self().vm().equals(vm)
                        && v.self().incarnation() == incarnation
                        && now >= v.endMillis() + END_CONFIRMATION_DELAY_MILLIS);
        boolean paused = mutation == LimitMutation.TAKEOVER_UNCONFIRMED
                && vms.stream().anyMatch(v -> v.self().vm().equals(vm) && !v.isRunning(now));
        return gone || paused;
    }

    private LimitVm start(String name, long incarnation, DataCentreId dataCentre, CellId cell) {
        VmAddress address = new VmAddress(new VmId(name), incarnation, dataCentre, cell, "127.0.0.1", 1);
        double drift = 1 + (random.nextDouble() - 0.5) / 150;
        double rate =
                mutation == LimitMutation.SLOW_CLOCKS && dataCentre.value().equals("dc0") ? drift / 3 : drift;
        return new LimitVm(this, address, settings, random.split(), rate);
    }

    private void perform(LimitVm from, Action action) {
        if (action instanceof Action.SendMessage send) {
            messages++;
            send(from.self(), send.to(), mutation.apply(send.message()));
        } else {
            platform.perform(action).ifPresent(e -> schedule(from, 2 + random.nextInt(5), e, null));
        }
    }

    private void send(VmAddress from, VmAddress to, PeerMessage message) {
        if (isPartitioned(from, to) || random.nextDouble() < dropProbability) {
            return;
        }
        Optional<LimitVm> target = vms.stream().filter(v -> v.self().equals(to)).findFirst();
        int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = LINK_MILLIS + (maxExtraDelayMillis > 0 ? random.nextLong(maxExtraDelayMillis) : 0);
            target.ifPresent(t -> schedule(t, delay, new Event.MessageReceived(from, message), from));
        }
    }

    private boolean isPartitioned(VmAddress one, VmAddress other) {
        return !one.dataCentre().equals(other.dataCentre())
                && partitions.contains(Set.of(one.dataCentre(), other.dataCentre()));
    }

    private void schedule(LimitVm to, long delayMillis, Event event, VmAddress from) {
        deliveries.add(new Delivery(now + delayMillis, ++order, to, event, from));
    }

    private void deliver(Delivery delivery) {
        LimitVm to = delivery.to();
        if (to.hasEnded(now)) {
            return;
        }
        if (!to.isRunning(now)) {
            schedule(to, to.resumeMillis() - now, delivery.event(), delivery.from());
        } else if (delivery.event() == null) {
            to.configure(configuration, now);
        } else if (delivery.from() == null || !isPartitioned(delivery.from(), to.self())) {
            to.system().handle(delivery.event(), to.localMillis(now), outbox(to));
        }
    }

    private record Delivery(long atMillis, long order, LimitVm to, Event event, VmAddress from)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
