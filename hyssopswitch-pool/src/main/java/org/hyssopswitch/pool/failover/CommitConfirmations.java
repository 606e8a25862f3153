package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.ReplicatedCommits;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.peer.CommitConfirmation;
import org.hyssopswitch.pool.peer.CommitConfirmationRequest;
import org.hyssopswitch.pool.session.CommitGuard;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * Holds the acknowledgements of commits in groups with synchronous replication, on every VM, until the promotion leader has
 * confirmed the commits.
 *
 * <p>While the leader does not answer, all replicas must have received a commit: whichever of them is promoted has it, and a
 * paused one keeps it unconfirmed.
 */
final class CommitConfirmations implements CommitGuard {

    /** Period in which a request is repeated, milliseconds. */
    private static final long REQUEST_PERIOD_MILLIS = 100;

    /** Time without an answer of the leader after which the replicas are queried, milliseconds. */
    private static final long LEADER_SILENCE_MILLIS = 250;

    /** Period in which the replicas are queried, milliseconds. */
    private static final long QUERY_PERIOD_MILLIS = 100;

    /** Time after which a commit remains unconfirmed, milliseconds: longer than statements may take. */
    private static final long MAX_WAIT_MILLIS = 30_000;

    private static final Logger LOG = LogManager.getLogger(CommitConfirmations.class);

    private final DatabaseGroups groups;
    private final PromotionLeaderElection election;
    private final DecisionLoop loop;
    private final BiConsumer<String, CommitConfirmationRequest> requests;
    private final Map<String, GroupCommits> commits = new HashMap<>();
    private long latestLeadership = -1;

    CommitConfirmations(
            DatabaseGroups groups,
            PromotionLeaderElection election,
            DecisionLoop loop,
            BiConsumer<String, CommitConfirmationRequest> requests) {
        this.groups = groups;
        this.election = election;
        this.loop = loop;
        this.requests = requests;
    }

    @Override
    public void confirm(String group, Option<LogPosition> commit, Consumer<Boolean> done) {
        if (!isSynchronous(group)) {
            done.accept(true);
        } else if (commit.isEmpty()) {
            done.accept(false);
        } else {
            commits.computeIfAbsent(group, GroupCommits::new).add(commit.get(), done);
        }
    }

    /** Handles an answer of a leader. One that has been replaced knows nothing of the promotions of its successor. */
    void received(CommitConfirmation confirmation) {
        latestLeadership = Math.max(latestLeadership, election.termNumber());
        if (confirmation.leadership() >= latestLeadership) {
            latestLeadership = confirmation.leadership();
            Option.of(commits.get(confirmation.group())).forEach(known -> known.confirmed(confirmation));
        }
    }

    /** Repeats requests and ends waits; called every few milliseconds. */
    void tick() {
        List.copyOf(commits.values()).forEach(GroupCommits::tick);
    }

    /** The store has come back from a copy, and with it the numbers of leaderships may begin again. */
    void eraAdvanced() {
        latestLeadership = -1;
    }

    private boolean isSynchronous(String group) {
        return groups.find(group).exists(known -> known.declaration().syncReplicas() > 0);
    }

    private final class GroupCommits {

        private final String name;
        private final List<PendingCommit> pending = new ArrayList<>();
        private ReplicatedCommits confirmed = ReplicatedCommits.NONE;
        private List<CommitHolder> replicas = List.of();
        private LogPosition requested = LogPosition.ZERO;
        private long requestedMillis;
        private Option<Long> unansweredSinceMillis = Option.none();
        private boolean queryPending;
        private long nextQueryMillis;

        GroupCommits(String name) {
            this.name = name;
        }

        private void add(LogPosition commit, Consumer<Boolean> done) {
            if (confirmed.include(commit)) {
                done.accept(true);
                return;
            }
            boolean idle = pending.stream().noneMatch(one -> one.commit().equals(requested));
            pending.add(new PendingCommit(commit, loop.nowMillis(), done));
            if (idle) {
                request();
            }
        }

        private void confirmed(CommitConfirmation confirmation) {
            unansweredSinceMillis = Option.none();
            replicas = confirmation.replicas();
            confirmed(new ReplicatedCommits(confirmation.confirmed()));
        }

        private void confirmed(ReplicatedCommits more) {
            confirmed = confirmed.latest(more);
            boolean answered = confirmed.include(requested);
            end(one -> confirmed.include(one.commit()), true);
            if (answered && !pending.isEmpty()) {
                request();
            }
        }

        private void tick() {
            if (pending.isEmpty()) {
                return;
            }
            long now = loop.nowMillis();
            if (!isSynchronous(name)) {
                end(one -> true, true);
                return;
            }
            long term = groups.find(name).map(DatabaseGroup::term).getOrElse(-1L);
            end(one -> one.commit().term() < term || now - one.sinceMillis() >= MAX_WAIT_MILLIS, false);
            if (pending.isEmpty()) {
                return;
            }
            if (now - requestedMillis >= REQUEST_PERIOD_MILLIS) {
                request();
            }
            boolean silent = unansweredSinceMillis.exists(since -> now - since >= LEADER_SILENCE_MILLIS);
            if (silent && !queryPending && now >= nextQueryMillis) {
                groups.find(name).forEach(this::queryReplicas);
            }
        }

        private void request() {
            requestedMillis = loop.nowMillis();
            unansweredSinceMillis = unansweredSinceMillis.orElse(Option.some(requestedMillis));
            requested = pending.stream()
                    .map(PendingCommit::commit)
                    .reduce(LogPosition::max)
                    .orElse(LogPosition.ZERO);
            long leadership = Math.max(latestLeadership, election.termNumber());
            election.leader()
                    .forEach(leader ->
                            requests.accept(leader, new CommitConfirmationRequest(name, requested, leadership)));
        }

        /** Asks all replicas that the leader last named, or the listed ones if it never did. */
        private void queryReplicas(DatabaseGroup group) {
            String primary = group.primary().map(Endpoint::id).getOrElse("");
            List<CommitHolder> asked = (replicas.isEmpty() ? CommitHolderSurvey.listed(group) : replicas)
                    .stream()
                            .filter(replica -> !replica.endpoint().equals(primary))
                            .toList();
            if (asked.isEmpty()) {
                return;
            }
            queryPending = true;
            nextQueryMillis = loop.nowMillis() + QUERY_PERIOD_MILLIS;
            CommitHolderSurvey.start(group, asked, loop, result -> {
                queryPending = false;
                if (result.statuses().size() == asked.size()) {
                    confirmed(ReplicatedCommits.receivedByAll(result.statuses().values()));
                }
            });
        }

        private void end(Predicate<PendingCommit> selected, boolean kept) {
            List<PendingCommit> ended = pending.stream().filter(selected).toList();
            pending.removeAll(ended);
            if (!kept && !ended.isEmpty()) {
                LOG.warn(
                        "event=commits_unconfirmed group={} count={} first={} confirmed={} waited_ms={}",
                        name,
                        ended.size(),
                        ended.get(0).commit(),
                        confirmed.last(),
                        loop.nowMillis() - ended.get(0).sinceMillis());
            }
            ended.forEach(one -> one.done().accept(kept));
        }
    }

    private record PendingCommit(LogPosition commit, long sinceMillis, Consumer<Boolean> done) {}
}
