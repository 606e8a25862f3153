package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.peer.CommitConfirmation;
import org.hyssopswitch.pool.peer.CommitConfirmationRequest;
import org.hyssopswitch.pool.peer.LeadershipPing;
import org.hyssopswitch.pool.peer.LeadershipPong;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.peer.PrimaryUnreachableReport;
import org.hyssopswitch.pool.session.CommitGuard;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Detects groups that need another primary and, on the promotion leader, has a replica promoted. */
public final class PrimaryFailover {

    /**
     * Time for which a primary must be unreachable before it is replaced, milliseconds: restarts of links are shorter.
     */
    private static final long CONFIRMATION_MILLIS = 100;

    /** Period of reports to the promotion leader, milliseconds. */
    private static final long REPORT_PERIOD_MILLIS = 250;

    /**
     * Time after the confirmation in which every tick sends a report, milliseconds, so that a lost report does no harm.
     */
    private static final long INITIAL_REPORTING_MILLIS = 50;

    /**
     * Fraction of the VMs that must be unable to reach a primary before it is replaced: more than the VMs of one data
     * centre of three, which may be the ones that are cut off from all others.
     */
    private static final double CUT_OFF_FRACTION = 0.34;

    private final String self;
    private final DatabaseGroups groups;
    private final PromotionAuthority authority;
    private final DecisionLoop loop;
    private final PromotionLeaderElection election;
    private final CommitHolderTracker commitHolders;
    private final PromotionFences fences;
    private final LeaderCommitConfirmer commitConfirmer;
    private final CommitConfirmations commitConfirmations;
    private final UnreachabilityReports reports = new UnreachabilityReports();
    private final Map<String, Long> unusableSinceMillis = new HashMap<>();
    private final Map<String, ReplicaPromotion> promotions = new HashMap<>();
    private PeerLinks peers;
    private int vmCount = 1;
    private long lastReportMillis;

    /**
     * Creates the failover of one VM.
     *
     * @param self name of this VM
     * @param groups the database groups
     * @param authority orders promotions
     * @param tables what the promotion leader keeps in the store
     * @param eras eras of the store
     * @param loop the decision thread
     * @param random source of jitter
     * @param peers links to the other VMs
     */
    public PrimaryFailover(
            String self,
            DatabaseGroups groups,
            PromotionAuthority authority,
            FailoverTables tables,
            StoreEraTracker eras,
            DecisionLoop loop,
            RandomGenerator random,
            PeerLinks peers) {
        this.self = self;
        this.groups = groups;
        this.authority = authority;
        this.loop = loop;
        this.election = new PromotionLeaderElection(self, tables.leadership(), eras, loop, random, peers);
        this.commitHolders = new CommitHolderTracker(tables.commitHolders(), loop);
        this.fences = new PromotionFences(tables.fences(), groups, election, commitHolders, loop);
        this.commitConfirmer = new LeaderCommitConfirmer(election, commitHolders, fences, loop, this::sendOrHandle);
        this.commitConfirmations = new CommitConfirmations(groups, election, loop, this::sendOrHandle);
        this.peers = peers;
        this.lastReportMillis = loop.nowMillis();
    }

    /**
     * Sets the links over which messages are sent from now on.
     *
     * @param links links to the other VMs
     */
    public void connect(PeerLinks links) {
        peers = links;
        election.connect(links);
    }

    /**
     * Sets the size of the fleet.
     *
     * @param count number of VMs, this one included
     */
    public void setFleetSize(int count) {
        vmCount = count;
    }

    /**
     * Sets whether this VM may take the leadership when the leader is unresponsive.
     *
     * @param eligible whether it may
     */
    public void setCandidate(boolean eligible) {
        election.setCandidate(eligible);
    }

    /** Returns the guard of the commits of groups with synchronous replication. */
    public CommitGuard commitGuard() {
        return commitConfirmations;
    }

    /** The store has come back from a copy, and the leadership must be taken again. */
    public void eraAdvanced() {
        election.eraAdvanced();
        commitConfirmer.reset();
        commitConfirmations.eraAdvanced();
        commitHolders.reset();
        fences.reset();
    }

    /** Whether this VM is the promotion leader, as far as it knows. */
    boolean isLeader() {
        return election.isLeader();
    }

    /** Checks whether groups need a promotion; called every few milliseconds. */
    public void tick() {
        long now = loop.nowMillis();
        boolean reportDue = now - lastReportMillis >= REPORT_PERIOD_MILLIS;
        boolean urgent = false;
        for (DatabaseGroup group : groups.all()) {
            boolean unusable = primaryUnusable(group);
            Long since = unusable ? unusableSinceMillis.computeIfAbsent(group.name(), name -> now) : null;
            if (!unusable) {
                unusableSinceMillis.remove(group.name());
            }
            boolean confirmed = since != null && now - since >= CONFIRMATION_MILLIS;
            urgent |= confirmed;
            if (confirmed && (reportDue || now - since < CONFIRMATION_MILLIS + INITIAL_REPORTING_MILLIS)) {
                sendReport(group);
            }
            if (election.isLeader()) {
                trackCommitHolders(group);
                promoteIfNeeded(group, confirmed, now);
            }
        }
        if (!election.isLeader()) {
            commitHolders.reset();
            fences.reset();
            commitConfirmer.reset();
        } else if (groups.all().stream().anyMatch(PrimaryFailover::isSynchronous)) {
            fences.tick();
            commitConfirmer.tick();
        }
        if (reportDue) {
            lastReportMillis = now;
        }
        commitConfirmations.tick();
        election.tick(urgent);
    }

    /**
     * Handles a message from another VM.
     *
     * @param vm name of the sender
     * @param message the message
     */
    public void received(String vm, PeerMessage message) {
        if (message instanceof LeadershipPing ping) {
            election.pingReceived(vm, ping);
        } else if (message instanceof LeadershipPong pong) {
            election.pongReceived(vm, pong);
        } else if (message instanceof PrimaryUnreachableReport report) {
            reports.add(report.group(), report.endpoint(), vm, loop.nowMillis());
        } else if (message instanceof CommitConfirmationRequest request) {
            groups.find(request.group())
                    .filter(PrimaryFailover::isSynchronous)
                    .forEach(group -> commitConfirmer.request(vm, request, group));
        } else if (message instanceof CommitConfirmation confirmation) {
            commitConfirmations.received(confirmation);
        }
    }

    private void promoteIfNeeded(DatabaseGroup group, boolean unusableHere, long now) {
        ReplicaPromotion current = promotions.get(group.name());
        if (current != null && !current.isSettled(now)) {
            return;
        }
        promotions.remove(group.name());
        Option<Endpoint> primary = group.primary();
        String id = primary.map(Endpoint::id).getOrElse("");
        int cutOff = reports.count(group.name(), id, now) + (unusableHere ? 1 : 0);
        boolean draining = primary.exists(Endpoint::draining);
        boolean missing = unusableHere && primary.isEmpty();
        boolean needed = draining || missing || cutOff >= Math.min(vmCount, Math.max(2, vmCount * CUT_OFF_FRACTION));
        boolean planned = draining && group.isReachable(id);
        if (mayPromote(group, planned) && needed) {
            ReplicaPromotion started =
                    new ReplicaPromotion(self, group, selector(group), authority, election, listener(group), loop);
            promotions.put(group.name(), started);
            started.start(primary, planned, cutOff);
        }
    }

    /** Whether a promotion may start; first goes on to end the pause of an earlier one. */
    private boolean mayPromote(DatabaseGroup group, boolean planned) {
        boolean synchronous = isSynchronous(group);
        if (!synchronous && !fences.isFenced(group)) {
            return true;
        }
        if (!fences.isRead() || (synchronous && commitHolders.find(group).isEmpty())) {
            return false;
        }
        GroupFence fence = fences.of(group);
        fence.step();
        return fence.mayPromote(planned);
    }

    private PromotionListener listener(DatabaseGroup group) {
        return isSynchronous(group) ? fences.of(group) : PromotionListener.NONE;
    }

    private void trackCommitHolders(DatabaseGroup group) {
        if (isSynchronous(group)) {
            commitHolders.track(group);
        }
    }

    private PromotionTargetSelector selector(DatabaseGroup group) {
        return isSynchronous(group)
                ? new CommitHolderSelector(group, commitHolders, fences.of(group), loop)
                : new MostAdvancedReplicaSelector(group, loop);
    }

    private void sendOrHandle(String vm, PeerMessage message) {
        if (vm.equals(self)) {
            received(self, message);
        } else {
            peers.send(vm, message);
        }
    }

    private static boolean isSynchronous(DatabaseGroup group) {
        return group.declaration().syncReplicas() > 0;
    }

    private static boolean primaryUnusable(DatabaseGroup group) {
        return !group.endpoints().isEmpty() && !group.primary().exists(primary -> group.isReachable(primary.id()));
    }

    private void sendReport(DatabaseGroup group) {
        String id = group.primary().map(Endpoint::id).getOrElse("");
        election.leader()
                .filter(leader -> !leader.equals(self))
                .forEach(leader -> peers.send(leader, new PrimaryUnreachableReport(group.name(), id)));
    }
}
