package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Selects a server that has received every acknowledged commit of a group with synchronous replication. */
final class CommitHolderSelector implements PromotionTargetSelector {

    private static final Logger LOG = LogManager.getLogger(CommitHolderSelector.class);

    private final DatabaseGroup group;
    private final CommitHolderTracker tracker;
    private final DecisionLoop loop;

    CommitHolderSelector(DatabaseGroup group, CommitHolderTracker tracker, DecisionLoop loop) {
        this.group = group;
        this.tracker = tracker;
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
        CommitHolderSurvey.start(group, holders.holders(), loop, result -> choose(holders, result, oldPrimary, done));
    }

    private void choose(
            CommitHolders holders,
            CommitHolderSurvey.Result result,
            Option<Endpoint> oldPrimary,
            Consumer<Option<PromotionTarget>> done) {
        int copies = group.declaration().syncReplicas() + 1;
        Optional<CommitHolder> target =
                holders.choosePrimary(copies, result.received(), holder -> isEligible(holder, oldPrimary));
        LOG.info(
                "event=promotion_target group={} target={} holders={} received={} ended={} floor={} copies={}",
                group.name(),
                target.map(CommitHolder::endpoint).orElse("none"),
                holders.holders(),
                result.received(),
                result.ended(),
                holders.floor(),
                copies);
        if (target.isEmpty()) {
            done.accept(Option.none());
            return;
        }
        CommitHolder chosen = target.get();
        CommitHolders next = holders.withPromoted(chosen, result.received().get(chosen), result.ended());
        tracker.record(
                group,
                next,
                recorded -> done.accept(Option.when(recorded, chosen)
                        .flatMap(this::findListed)
                        .map(endpoint -> new PromotionTarget(endpoint, result.latestTerm()))));
    }

    private boolean isEligible(CommitHolder holder, Option<Endpoint> oldPrimary) {
        return !oldPrimary.exists(primary -> primary.id().equals(holder.endpoint()))
                && findListed(holder).exists(endpoint -> group.isReachable(endpoint.id()));
    }

    private Option<Endpoint> findListed(CommitHolder holder) {
        return Option.ofOptional(group.endpoints().stream()
                .filter(endpoint -> CommitHolderSurvey.holderOf(endpoint).equals(holder))
                .findFirst());
    }
}
