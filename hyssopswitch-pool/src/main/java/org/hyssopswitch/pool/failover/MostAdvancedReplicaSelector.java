package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * Selects the most advanced replica that answers, or any reachable one. For groups whose commits are acknowledged before
 * a replica has received them.
 */
final class MostAdvancedReplicaSelector implements PromotionTargetSelector {

    /** Timeout of status queries, milliseconds. */
    private static final long STATUS_TIMEOUT_MILLIS = 250;

    private final DatabaseGroup group;
    private final DecisionLoop loop;

    MostAdvancedReplicaSelector(DatabaseGroup group, DecisionLoop loop) {
        this.group = group;
        this.loop = loop;
    }

    @Override
    public void select(Option<Endpoint> oldPrimary, Consumer<Option<PromotionTarget>> done) {
        List<Endpoint> candidates = group.endpoints().stream()
                .filter(endpoint -> !endpoint.draining()
                        && !oldPrimary.exists(primary -> primary.id().equals(endpoint.id()))
                        && group.isReachable(endpoint.id()))
                .toList();
        new Selection(candidates, done).start();
    }

    private final class Selection {

        private final List<Endpoint> candidates;
        private final Consumer<Option<PromotionTarget>> done;
        private final List<CandidateStatus> statuses = new ArrayList<>();
        private boolean ended;

        Selection(List<Endpoint> candidates, Consumer<Option<PromotionTarget>> done) {
            this.candidates = candidates;
            this.done = done;
        }

        void start() {
            candidates.forEach(candidate -> group.queryStatus(candidate.id(), STATUS_TIMEOUT_MILLIS, status -> {
                status.forEach(known -> statuses.add(new CandidateStatus(candidate, known)));
                if (statuses.size() == candidates.size()) {
                    end();
                }
            }));
            loop.schedule(STATUS_TIMEOUT_MILLIS, this::end);
        }

        private void end() {
            if (!ended) {
                ended = true;
                done.accept(mostAdvanced());
            }
        }

        private Option<PromotionTarget> mostAdvanced() {
            long latestTerm = statuses.stream()
                    .mapToLong(one -> one.status().term())
                    .max()
                    .orElse(-1);
            Option<Endpoint> best = Option.ofOptional(statuses.stream()
                    .max(Comparator.comparing(CandidateStatus::received)
                            .thenComparing(one -> one.endpoint().id()))
                    .map(CandidateStatus::endpoint));
            return best.orElse(() -> Option.ofOptional(candidates.stream().findFirst()))
                    .map(endpoint -> new PromotionTarget(endpoint, latestTerm));
        }
    }

    private record CandidateStatus(Endpoint endpoint, ReplicationStatus status) {

        LogPosition received() {
            return status.received();
        }
    }
}
