package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.core.failover.ReplicationFence;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Selects a server that has received every acknowledged commit of a group with synchronous replication. */
final class CommitHolderSelector implements PromotionTargetSelector {

    private static final Logger LOG = LogManager.getLogger(CommitHolderSelector.class);

    /** Time in which the target must have received what the paused replicas have, milliseconds. */
    private static final long CATCH_UP_MILLIS = 250;

    /** Delay between two queries of the target's position, milliseconds. */
    private static final long CATCH_UP_POLL_MILLIS = 10;

    private final DatabaseGroup group;
    private final CommitHolderTracker tracker;
    private final GroupFence fence;
    private final DecisionLoop loop;

    CommitHolderSelector(DatabaseGroup group, CommitHolderTracker tracker, GroupFence fence, DecisionLoop loop) {
        this.group = group;
        this.tracker = tracker;
        this.fence = fence;
        this.loop = loop;
    }

    @Override
    public void select(Option<Endpoint> oldPrimary, Consumer<Option<PromotionTarget>> done) {
        Option<CommitHolders> known = tracker.find(group);
        if (known.isEmpty()) {
            done.accept(Option.none());
            return;
        }
        CommitHolders holders = known.get();
        CommitHolderSurvey.start(
                group, holders.holders(), loop, result -> new Selection(holders, result, oldPrimary, done).start());
    }

    private Option<Endpoint> findListed(CommitHolder holder) {
        return Option.ofOptional(group.endpoints().stream()
                .filter(endpoint -> CommitHolderSurvey.holderOf(endpoint).equals(holder))
                .findFirst());
    }

    /** The selection of one target, once the servers were queried. */
    private final class Selection {

        private final CommitHolders holders;
        private final CommitHolderSurvey.Result survey;
        private final Option<Endpoint> oldPrimary;
        private final Consumer<Option<PromotionTarget>> done;
        private final int copies = group.declaration().syncReplicas() + 1;

        Selection(
                CommitHolders holders,
                CommitHolderSurvey.Result survey,
                Option<Endpoint> oldPrimary,
                Consumer<Option<PromotionTarget>> done) {
            this.holders = holders;
            this.survey = survey;
            this.oldPrimary = oldPrimary;
            this.done = done;
        }

        private void start() {
            Option<CommitHolder> leading = findLeading();
            if (leading.isDefined()) {
                // A promotion has taken effect of which this VM has not learnt.
                group.samplePrimary(leading.get().endpoint());
                done.accept(Option.none());
                return;
            }
            Optional<CommitHolder> target = holders.choosePrimary(copies, survey.received(), this::isEligible);
            LOG.info(
                    "event=promotion_target group={} target={} holders={} received={} ended={} floor={} copies={}",
                    group.name(),
                    target.map(CommitHolder::endpoint).orElse("none"),
                    holders.holders(),
                    survey.received(),
                    survey.ended(),
                    holders.floor(),
                    copies);
            target.ifPresentOrElse(this::pauseOthers, () -> done.accept(Option.none()));
        }

        /** Returns the server, other than the old primary, that leads in the latest term. */
        private Option<CommitHolder> findLeading() {
            return Option.ofOptional(survey.statuses().entrySet().stream()
                    .filter(answer -> answer.getValue().primary()
                            && answer.getValue().term() == survey.latestTerm()
                            && !isOldPrimary(answer.getKey()))
                    .map(Map.Entry::getKey)
                    .findFirst());
        }

        private boolean isOldPrimary(CommitHolder holder) {
            return oldPrimary.exists(primary -> primary.id().equals(holder.endpoint()));
        }

        /** Whether a holder may be promoted; no other one while a promotion may still take effect. */
        private boolean isEligible(CommitHolder holder) {
            return fence.pendingTarget().forAll(pending -> pending.equals(holder.endpoint()) || hasEnded(pending))
                    && !isOldPrimary(holder)
                    && findListed(holder).exists(endpoint -> group.isReachable(endpoint.id()));
        }

        private boolean hasEnded(String endpoint) {
            return survey.ended().stream().anyMatch(one -> one.endpoint().equals(endpoint));
        }

        private void pauseOthers(CommitHolder target) {
            ReplicationFence planned = ReplicationFence.around(target, survey.statuses());
            fence.pause(
                    planned, paused -> paused.peek(result -> awaitCommits(planned, result.statuses(), loop.nowMillis()))
                            .onEmpty(() -> done.accept(Option.none())));
        }

        /** Waits until the target has received what the paused replicas have; it may lag behind one by milliseconds. */
        private void awaitCommits(
                ReplicationFence planned, Map<CommitHolder, ReplicationStatus> paused, long sinceMillis) {
            LogPosition surveyed = survey.received().get(planned.target());
            if (planned.covers(holders, copies, paused, surveyed)) {
                recordTarget(planned, surveyed);
                return;
            }
            group.queryStatus(planned.target().endpoint(), CATCH_UP_MILLIS, status -> {
                Option<LogPosition> received =
                        status.filter(known -> !known.primary()).map(ReplicationStatus::received);
                if (received.exists(position -> planned.covers(holders, copies, paused, position))) {
                    recordTarget(planned, received.get());
                } else if (loop.nowMillis() - sinceMillis < CATCH_UP_MILLIS) {
                    loop.schedule(CATCH_UP_POLL_MILLIS, () -> awaitCommits(planned, paused, sinceMillis));
                } else {
                    LOG.warn(
                            "event=fence_incomplete group={} target={} received={} paused={}",
                            group.name(),
                            planned.target().endpoint(),
                            received,
                            paused);
                    done.accept(Option.none());
                }
            });
        }

        private void recordTarget(ReplicationFence planned, LogPosition received) {
            CommitHolder target = planned.target();
            CommitHolders next = holders.withPromoted(target, received, survey.ended());
            tracker.record(
                    group,
                    next,
                    recorded -> done.accept(Option.when(recorded, target)
                            .flatMap(CommitHolderSelector.this::findListed)
                            .map(endpoint -> new PromotionTarget(endpoint, survey.latestTerm()))));
        }
    }
}
