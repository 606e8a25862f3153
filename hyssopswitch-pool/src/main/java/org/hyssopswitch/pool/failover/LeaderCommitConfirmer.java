package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.hyssopswitch.core.failover.CommitEvidence;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.EndpointStatusFeed;
import org.hyssopswitch.pool.peer.CommitConfirmation;
import org.hyssopswitch.pool.peer.CommitConfirmationRequest;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Tells the VMs, on the promotion leader, which commits outlast every promotion ({@link CommitEvidence}). */
final class LeaderCommitConfirmer {

    /** Delay before a replica that lacks commits is queried again, milliseconds. */
    private static final long QUERY_DELAY_MILLIS = 10;

    /** Delay before a connection that was lost is opened again, milliseconds. */
    private static final long RECONNECT_DELAY_MILLIS = 250;

    /** Time without requests after which connections are closed, milliseconds. */
    private static final long IDLE_MILLIS = 10_000;

    /** Time for which a request is answered unless it is repeated, milliseconds. */
    private static final long REQUEST_VALIDITY_MILLIS = 1_000;

    private final PromotionLeaderElection election;
    private final CommitHolderTracker commitHolders;
    private final PromotionFences fences;
    private final DecisionLoop loop;
    private final BiConsumer<String, CommitConfirmation> answers;
    private final Map<String, RequestedGroup> requested = new HashMap<>();

    LeaderCommitConfirmer(
            PromotionLeaderElection election,
            CommitHolderTracker commitHolders,
            PromotionFences fences,
            DecisionLoop loop,
            BiConsumer<String, CommitConfirmation> answers) {
        this.election = election;
        this.commitHolders = commitHolders;
        this.fences = fences;
        this.loop = loop;
        this.answers = answers;
    }

    /** Forgets all requests, because the leadership has ended. */
    void reset() {
        requested.values().forEach(RequestedGroup::close);
        requested.clear();
    }

    /** Goes on querying; called every few milliseconds. */
    void tick() {
        List.copyOf(requested.values()).forEach(RequestedGroup::tick);
    }

    /** Takes a request. One that cannot be answered is dropped, so that its VM asks the replicas itself. */
    void request(String vm, CommitConfirmationRequest request, DatabaseGroup group) {
        if (election.isLeader() && request.leadership() > election.termNumber()) {
            election.superseded();
        }
        if (!election.isLeader() || !fences.isRead()) {
            return;
        }
        RequestedGroup known = requested.get(group.name());
        if (known == null || known.group != group) {
            Option.of(known).forEach(RequestedGroup::close);
            known = new RequestedGroup(group);
            requested.put(group.name(), known);
        }
        known.request(vm, request.commit());
    }

    private final class RequestedGroup {

        private final DatabaseGroup group;
        private final Map<String, Request> requests = new HashMap<>();
        private final Map<CommitHolder, Feed> feeds = new HashMap<>();
        private final CommitEvidence evidence = new CommitEvidence();
        private boolean closed;
        private long lastRequestMillis;

        RequestedGroup(DatabaseGroup group) {
            this.group = group;
        }

        private void close() {
            closed = true;
            closeFeeds();
        }

        private void closeFeeds() {
            feeds.values().forEach(feed -> feed.connection().close());
            feeds.clear();
        }

        private void tick() {
            updateEvidence();
            query();
            List<CommitHolder> holders = holders();
            feeds.entrySet().removeIf(entry -> {
                boolean removed = !holders.contains(entry.getKey());
                if (removed) {
                    entry.getValue().connection().close();
                }
                return removed;
            });
            if (loop.nowMillis() - lastRequestMillis > IDLE_MILLIS) {
                closeFeeds();
            }
        }

        private void request(String vm, LogPosition commit) {
            lastRequestMillis = loop.nowMillis();
            requests.put(vm, new Request(commit, lastRequestMillis));
            updateEvidence();
            answer(vm);
            query();
        }

        private void answer(String vm) {
            answers.accept(
                    vm,
                    new CommitConfirmation(
                            group.name(), evidence.confirmed().last(), evidence.replicas(), election.termNumber()));
        }

        /** Queries the servers that matter, while commits wait for them. */
        private void query() {
            requests.values()
                    .removeIf(request -> evidence.confirmed().include(request.commit())
                            || loop.nowMillis() - request.receivedMillis() > REQUEST_VALIDITY_MILLIS);
            if (requests.isEmpty() || !election.isLeader() || closed) {
                return;
            }
            updateEvidence();
            List<CommitHolder> required = evidence.required();
            group.endpoints().stream()
                    .filter(endpoint -> group.isReachable(endpoint.id()))
                    .filter(endpoint -> required.contains(CommitHolderSurvey.holderOf(endpoint)))
                    .forEach(this::query);
        }

        private void query(Endpoint endpoint) {
            CommitHolder holder = CommitHolderSurvey.holderOf(endpoint);
            Feed feed = feeds.get(holder);
            if (feed == null
                    || (feed.connection().isClosed()
                            && loop.nowMillis() - feed.sinceMillis() >= RECONNECT_DELAY_MILLIS)) {
                EndpointStatusFeed connection = group.feedStatus(endpoint, status -> answered(holder, status));
                feeds.put(holder, new Feed(connection, loop.nowMillis()));
            } else {
                feed.connection().query();
            }
        }

        private void answered(CommitHolder holder, ReplicationStatus status) {
            if (!election.isLeader()) {
                return;
            }
            updateEvidence();
            if (evidence.add(holder, status)) {
                List.copyOf(requests.keySet()).forEach(this::answer);
            }
            loop.schedule(QUERY_DELAY_MILLIS, this::query);
        }

        private void updateEvidence() {
            String primary = group.primary().map(Endpoint::id).getOrElse("");
            evidence.update(holders(), primary, fences.of(group).promoting().toJavaOptional());
        }

        private List<CommitHolder> holders() {
            return commitHolders.findRecorded(group).map(CommitHolders::holders).getOrElse(List.of());
        }
    }

    private record Request(LogPosition commit, long receivedMillis) {}

    private record Feed(EndpointStatusFeed connection, long sinceMillis) {}
}
