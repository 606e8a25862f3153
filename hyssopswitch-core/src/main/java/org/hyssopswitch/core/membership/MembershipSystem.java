package org.hyssopswitch.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * Membership of the own cell, by heartbeats with incarnations, suspicion and indirect probes, and cached views of other
 * cells.
 *
 * <p>The platform's list of VMs is a source of addresses and the only proof that an unresponsive VM has ended. Each VM
 * reads it at jittered intervals that grow with the number of listed VMs, so that the call rate of the whole fleet
 * stays constant.
 */
public final class MembershipSystem implements DecisionSystem, MembershipView {

    private static final long REJOIN_PERIOD_MILLIS = 2_000;
    private static final long URGENT_LIST_INTERVAL_MILLIS = 3_000;
    private static final int MAX_URGENT_LISTERS = 2;

    private final VmAddress self;
    private final List<VmAddress> seeds;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MemberTable table;
    private final HeartbeatFailureDetector detector;
    private final CellDirectory directory;
    private final List<VmAddress> ownCellContacts = new ArrayList<>();
    private int listedVms = 1;
    private long nowMillis;
    private long nextListMillis;
    private long nextRejoinMillis;
    private boolean started;
    private long digest;
    private long digestVersion = -1;

    /**
     * Creates the system.
     *
     * @param self the address of this VM
     * @param seeds initial addresses of other VMs, from the settings; may be empty or outdated
     * @param settings intervals, timeouts and bounds
     * @param random source of randomness
     */
    public MembershipSystem(
            VmAddress self, List<VmAddress> seeds, MembershipSettings settings, RandomGenerator random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.settings = settings;
        this.random = random;
        this.table = new MemberTable(self);
        this.detector = new HeartbeatFailureDetector(table, self, settings, random);
        this.directory = new CellDirectory(random);
    }

    /** Announces to the cell that this VM is leaving and is to receive no new work. */
    public void announceLeaving() {
        table.markLeaving(self, nowMillis);
    }

    @Override
    public VmAddress self() {
        return self;
    }

    @Override
    public long version() {
        return table.version() + directory.version();
    }

    @Override
    public List<VmAddress> live(CellId cell) {
        return members(cell).stream()
                .filter(MemberUpdate::isLive)
                .map(MemberUpdate::address)
                .toList();
    }

    @Override
    public List<VmAddress> candidates(CellId cell) {
        List<VmAddress> staying = members(cell).stream()
                .filter(m -> m.isLive() && !m.leaving())
                .map(MemberUpdate::address)
                .toList();
        return staying.isEmpty() ? live(cell) : staying;
    }

    @Override
    public boolean isSuspected(VmAddress vm) {
        if (!vm.cell().equals(self.cell())) {
            return directory.isSuspected(vm);
        }
        return table.find(vm.vm()).map(Member::isSuspected).orElse(true);
    }

    @Override
    public boolean isConfirmedGone(VmId vm, long incarnation) {
        return table.isGone(vm, incarnation);
    }

    @Override
    public void tick(long now, Outbox out) {
        nowMillis = now;
        if (!started) {
            start(now);
        }
        table.expire(now, settings.suspicionMillis());
        detector.tick(now, out);
        directory.tick(now, out);
        if (now >= nextRejoinMillis) {
            nextRejoinMillis = now + jittered(REJOIN_PERIOD_MILLIS);
            contactAbsentMembers(out);
            requestOwnCellView(out);
        }
        requestVmListIfDue(now, out);
    }

    @Override
    public void handle(Event event, long now, Outbox out) {
        nowMillis = now;
        if (event instanceof Event.MessageReceived received) {
            handleMessage(received.from(), received.message(), out);
        } else if (event instanceof Event.VmsListed listed) {
            applyVmList(listed, now);
        } else if (event instanceof Event.LinkFailed failed) {
            markLinkFailed(failed.to(), now);
        }
    }

    private void start(long now) {
        started = true;
        nextListMillis = now + random.nextLong(settings.minListIntervalMillis());
        seeds.forEach(this::addContact);
    }

    private void handleMessage(VmAddress from, PeerMessage message, Outbox out) {
        if (from.cell().equals(self.cell())) {
            table.recordContact(from, nowMillis);
            detector.cancelProbes(from);
        } else {
            directory.addContact(from);
        }
        if (message instanceof MembershipPing ping) {
            ping.updates().forEach(u -> table.merge(u, nowMillis));
            detector.onPing(from, ping, out);
        } else if (message instanceof MembershipAck ack) {
            ack.updates().forEach(u -> table.merge(u, nowMillis));
            detector.onAck(ack, out);
        } else if (message instanceof MembershipProbeRequest request) {
            detector.onProbeRequest(from, request, out);
        } else if (message instanceof CellViewRequest request) {
            out.add(new Action.SendMessage(from, reply(request)));
        } else if (message instanceof CellViewReply reply) {
            applyView(from, reply);
        }
    }

    private CellViewReply reply(CellViewRequest request) {
        if (!request.cell().equals(self.cell())) {
            return new CellViewReply(request.cell(), 0, List.of());
        }
        List<MemberUpdate> live = table.latestUpdates(MemberUpdate::isLive);
        long own = ownDigest();
        return new CellViewReply(self.cell(), own, own == request.digest() ? List.of() : live);
    }

    private void applyVmList(Event.VmsListed listed, long now) {
        List<VmAddress> all = new ArrayList<>(listed.live());
        all.addAll(listed.leaving());
        all.forEach(this::addContact);
        directory.retainListed(
                all.stream().filter(a -> !a.cell().equals(self.cell())).toList());
        listed.leaving().forEach(a -> table.markLeaving(a, now));
        listedVms = Math.max(1, all.size());
        Set<VmAddress> listedAddresses = new HashSet<>(all);
        if (listedAddresses.contains(self)) {
            table.applyVmList(listedAddresses::contains, now);
        }
    }

    private void addContact(VmAddress address) {
        if (!address.cell().equals(self.cell())) {
            directory.addContact(address);
            return;
        }
        ownCellContacts.removeIf(a -> a.vm().equals(address.vm()) && a.incarnation() <= address.incarnation());
        if (ownCellContacts.size() < MemberTable.MAX_MEMBERS && !address.vm().equals(self.vm())) {
            ownCellContacts.add(address);
        }
    }

    private void markLinkFailed(VmAddress to, long now) {
        if (to.cell().equals(self.cell())) {
            table.markLinkFailed(to, now);
        } else {
            directory.markLinkFailed(to, now);
        }
    }

    /** Sends heartbeats to known addresses that are not live members, so that a cell recovers from a partition. */
    private void contactAbsentMembers(Outbox out) {
        Set<VmAddress> absent = new HashSet<>(ownCellContacts);
        table.latestUpdates(u -> u.state() == MemberState.DEAD).forEach(u -> absent.add(u.address()));
        List<MemberUpdate> live = table.latestUpdates(MemberUpdate::isLive);
        live.forEach(u -> absent.removeIf(a -> a.vm().equals(u.address().vm())));
        absent.stream()
                .sorted(RendezvousUtils.byScore(Long.toString(random.nextLong()), a -> a.vm().value()))
                .limit(2)
                .forEach(a -> detector.sendHeartbeat(a, out));
    }

    /** Requests the view of one random member, which supplies updates that heartbeats have not carried. */
    private void requestOwnCellView(Outbox out) {
        List<VmAddress> others = new ArrayList<>(live(self.cell()));
        others.remove(self);
        if (!others.isEmpty()) {
            VmAddress peer = others.get(random.nextInt(others.size()));
            out.add(new Action.SendMessage(peer, new CellViewRequest(self.cell(), ownDigest())));
        }
    }

    private long ownDigest() {
        if (digestVersion != table.version()) {
            digestVersion = table.version();
            String text = table.latestUpdates(MemberUpdate::isLive).toString();
            digest = Math.max(1, text.hashCode() & 0xffff_ffffL);
        }
        return digest;
    }

    private void applyView(VmAddress from, CellViewReply reply) {
        if (!reply.cell().equals(self.cell())) {
            directory.applyView(from, reply);
            return;
        }
        reply.members().stream().limit(MemberTable.MAX_MEMBERS).forEach(m -> table.merge(m, nowMillis));
    }

    private void requestVmListIfDue(long now, Outbox out) {
        if (directory.lacksContacts() || isUrgentLister()) {
            nextListMillis = Math.min(nextListMillis, now + jittered(URGENT_LIST_INTERVAL_MILLIS));
        }
        if (now >= nextListMillis) {
            long mean = Math.max(settings.minListIntervalMillis(), listedVms * settings.listIntervalMillisPerVm());
            nextListMillis = now + jittered(mean);
            out.add(new Action.ListVms());
        }
    }

    /** Whether this VM is one of the few that read the list early, to confirm that some dead member is gone. */
    private boolean isUrgentLister() {
        List<MemberUpdate> dead = table.latestUpdates(u -> u.state() == MemberState.DEAD);
        if (dead.isEmpty()) {
            return false;
        }
        List<MemberUpdate> live = table.latestUpdates(MemberUpdate::isLive);
        return dead.stream().anyMatch(d -> live.stream()
                .map(u -> u.address().vm())
                .sorted(RendezvousUtils.byScore(d.address().vm().value(), VmId::value))
                .limit(MAX_URGENT_LISTERS)
                .anyMatch(self.vm()::equals));
    }

    private List<MemberUpdate> members(CellId cell) {
        return cell.equals(self.cell()) ? table.latestUpdates(u -> true) : directory.members(cell, nowMillis);
    }

    private long jittered(long millis) {
        return millis / 2 + random.nextLong(millis);
    }
}
