package org.hyssopswitch.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * Sends heartbeats to the members of the own cell, in a shuffled rotation, and marks as suspect a member that
 * acknowledges neither a heartbeat nor the indirect probes that follow it.
 */
final class HeartbeatFailureDetector {

    private static final int INDIRECT_PROBES = 2;
    private static final int MAX_RELAYED_PROBES = 256;

    private final MemberTable table;
    private final VmAddress self;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final List<VmAddress> rotation = new ArrayList<>();
    private long lastSequence;
    private long nextRoundMillis;

    HeartbeatFailureDetector(MemberTable table, VmAddress self, MembershipSettings settings, RandomGenerator random) {
        this.table = table;
        this.self = self;
        this.settings = settings;
        this.random = random;
    }

    void tick(long nowMillis, Outbox out) {
        List.copyOf(probes.entrySet()).forEach(e -> checkTimeout(e.getKey(), e.getValue(), nowMillis, out));
        if (nowMillis >= nextRoundMillis) {
            nextRoundMillis = nowMillis + settings.periodMillis();
            for (int i = 0; i < settings.fanout() && refillRotation(); i++) {
                probe(rotation.remove(rotation.size() - 1), nowMillis, out);
            }
        }
    }

    /** Sends a heartbeat without tracking its acknowledgement, for example to a VM that is not known to be live. */
    void sendHeartbeat(VmAddress target, Outbox out) {
        out.add(new Action.SendMessage(target, new MembershipPing(++lastSequence, table.updatesFor(target))));
    }

    void onPing(VmAddress from, MembershipPing ping, Outbox out) {
        out.add(new Action.SendMessage(from, new MembershipAck(ping.sequence(), table.updatesFor(from))));
    }

    void onAck(MembershipAck ack, Outbox out) {
        probes.remove(ack.sequence());
        RelayedProbe origin = relayedProbes.remove(ack.sequence());
        if (origin != null) {
            VmAddress requester = origin.requester();
            out.add(new Action.SendMessage(
                    requester, new MembershipAck(origin.sequence(), table.updatesFor(requester))));
        }
    }

    void onProbeRequest(VmAddress from, MembershipProbeRequest request, Outbox out) {
        if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
            relayedProbes.remove(relayedProbes.keySet().iterator().next());
        }
        sendHeartbeat(request.target(), out);
        relayedProbes.put(lastSequence, new RelayedProbe(from, request.sequence()));
    }

    /** Cancels the probes of a VM from which a message has arrived. */
    void cancelProbes(VmAddress from) {
        probes.values().removeIf(probe -> probe.target().equals(from));
    }

    private void probe(VmAddress target, long nowMillis, Outbox out) {
        boolean outstanding = probes.values().stream().anyMatch(p -> p.target().equals(target));
        if (!outstanding) {
            sendHeartbeat(target, out);
            probes.put(lastSequence, new Probe(target, nowMillis, false));
        }
    }

    private void checkTimeout(long sequence, Probe probe, long nowMillis, Outbox out) {
        long waited = nowMillis - probe.sentMillis();
        if (!probe.indirect() && waited >= settings.probeTimeoutMillis()) {
            probes.put(sequence, new Probe(probe.target(), nowMillis, true));
            requestIndirectProbes(sequence, probe.target(), out);
        } else if (probe.indirect() && waited >= settings.indirectTimeoutMillis()) {
            probes.remove(sequence);
            table.suspect(probe.target(), nowMillis);
        }
    }

    private void requestIndirectProbes(long sequence, VmAddress target, Outbox out) {
        List<VmAddress> helpers = otherLiveMembers();
        helpers.remove(target);
        shuffle(helpers);
        helpers.stream()
                .limit(INDIRECT_PROBES)
                .forEach(h -> out.add(new Action.SendMessage(h, new MembershipProbeRequest(sequence, target))));
    }

    private boolean refillRotation() {
        if (rotation.isEmpty()) {
            rotation.addAll(otherLiveMembers());
            shuffle(rotation);
        }
        return !rotation.isEmpty();
    }

    private List<VmAddress> otherLiveMembers() {
        List<VmAddress> result = new ArrayList<>();
        table.latestUpdates(MemberUpdate::isLive).forEach(u -> result.add(u.address()));
        result.remove(self);
        return result;
    }

    private void shuffle(List<VmAddress> list) {
        Collections.shuffle(list, new Random(random.nextLong()));
    }

    private record Probe(VmAddress target, long sentMillis, boolean indirect) {}

    private record RelayedProbe(VmAddress requester, long sequence) {}
}
