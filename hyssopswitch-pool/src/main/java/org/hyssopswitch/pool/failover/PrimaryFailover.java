package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.peer.LeadershipPing;
import org.hyssopswitch.pool.peer.LeadershipPong;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.PrimaryUnreachableReport;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Finds groups that need another primary and, on the VM that holds the duty, has one promoted. */
public final class PrimaryFailover {

    /** Time for which a primary must be unusable before it is replaced, milliseconds: restarts of links are shorter. */
    private static final long CONFIRM_MILLIS = 100;

    /** Period of reports to the holder of the duty, milliseconds. */
    private static final long REPORT_PERIOD_MILLIS = 250;

    /** Time after the confirmation in which every tick reports, milliseconds, so that a lost report does no harm. */
    private static final long FIRST_REPORTS_MILLIS = 50;

    /**
     * Part of the VMs that must be cut off from a primary before it is replaced: more than those of one data centre of
     * three, which may be the ones that are cut off from all others.
     */
    private static final double CUT_OFF_PART = 0.34;

    private final String self;
    private final DatabaseGroups groups;
    private final PromotionAuthority authority;
    private final DecisionLoop loop;
    private final PromotionLeaderElection duty;
    private final UnreachabilityReports reports = new UnreachabilityReports();
    private final Map<String, Long> unusableSinceMillis = new HashMap<>();
    private final Map<String, ReplicaPromotion> runs = new HashMap<>();
    private PeerLinks peers;
    private int vms = 1;
    private long reportedMillis;

    /**
     * Creates the system.
     *
     * @param self name of this VM
     * @param groups the database groups
     * @param authority orders promotions
     * @param table the record of the duty
     * @param loop the decision thread
     * @param random source of jitter
     * @param peers the other VMs
     */
    public PrimaryFailover(
            String self,
            DatabaseGroups groups,
            PromotionAuthority authority,
            ObjectTable<LeadershipRecord> table,
            DecisionLoop loop,
            RandomGenerator random,
            PeerLinks peers) {
        this.self = self;
        this.groups = groups;
        this.authority = authority;
        this.loop = loop;
        this.duty = new PromotionLeaderElection(self, table, loop, random, peers);
        this.peers = peers;
        this.reportedMillis = loop.nowMillis();
    }

    /**
     * Sends over whom messages are exchanged from now on.
     *
     * @param links the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
        duty.connect(links);
    }

    /**
     * Takes the size of the fleet.
     *
     * @param count number of VMs, this one included
     */
    public void setFleetSize(int count) {
        vms = count;
    }

    /**
     * Says whether this VM may take the duty when its holder is silent.
     *
     * @param eligible whether it may
     */
    public void setCandidate(boolean eligible) {
        duty.setCandidate(eligible);
    }

    /** Looks for groups that need a promotion; called every few milliseconds. */
    public void tick() {
        long now = loop.nowMillis();
        boolean report = now - reportedMillis >= REPORT_PERIOD_MILLIS;
        boolean urgent = false;
        for (DatabaseGroup group : groups.all()) {
            boolean unusable = primaryUnusable(group);
            Long since = unusable ? unusableSinceMillis.computeIfAbsent(group.name(), name -> now) : null;
            if (!unusable) {
                unusableSinceMillis.remove(group.name());
            }
            boolean confirmed = since != null && now - since >= CONFIRM_MILLIS;
            urgent |= confirmed;
            if (confirmed && (report || now - since < CONFIRM_MILLIS + FIRST_REPORTS_MILLIS)) {
                report(group);
            }
            if (duty.isLeader()) {
                decide(group, confirmed, now);
            }
        }
        if (report) {
            reportedMillis = now;
        }
        duty.tick(urgent);
    }

    /**
     * Takes a message of another VM.
     *
     * @param vm name of the sender
     * @param message the message
     */
    public void received(String vm, PeerMessage message) {
        if (message instanceof LeadershipPing ping) {
            duty.pingReceived(vm, ping);
        } else if (message instanceof LeadershipPong pong) {
            duty.pongReceived(vm, pong);
        } else if (message instanceof PrimaryUnreachableReport report) {
            reports.add(report.group(), report.endpoint(), vm, loop.nowMillis());
        }
    }

    private void decide(DatabaseGroup group, boolean unusableHere, long now) {
        ReplicaPromotion run = runs.get(group.name());
        if (run != null && !run.isSettled(now)) {
            return;
        }
        runs.remove(group.name());
        Option<Endpoint> primary = group.primary();
        String id = primary.map(Endpoint::id).getOrElse("");
        int cutOff = reports.count(group.name(), id, now) + (unusableHere ? 1 : 0);
        boolean draining = primary.exists(Endpoint::draining);
        boolean missing = unusableHere && primary.isEmpty();
        if (draining || missing || cutOff >= Math.min(vms, Math.max(2, vms * CUT_OFF_PART))) {
            ReplicaPromotion started = new ReplicaPromotion(self, group, authority, duty, loop);
            runs.put(group.name(), started);
            started.start(primary, draining && group.isReachable(id), cutOff);
        }
    }

    private static boolean primaryUnusable(DatabaseGroup group) {
        return !group.endpoints().isEmpty() && !group.primary().exists(primary -> group.isReachable(primary.id()));
    }

    private void report(DatabaseGroup group) {
        String id = group.primary().map(Endpoint::id).getOrElse("");
        duty.leader()
                .filter(holder -> !holder.equals(self))
                .forEach(holder -> peers.send(holder, new PrimaryUnreachableReport(group.name(), id)));
    }
}
