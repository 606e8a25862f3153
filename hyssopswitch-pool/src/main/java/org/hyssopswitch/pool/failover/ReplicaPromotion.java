package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** One promotion: has a replica selected, orders its promotion and waits until it is the primary. */
final class ReplicaPromotion {

    /** Timeout of the request to step down, milliseconds. */
    private static final long STEP_DOWN_TIMEOUT_MILLIS = 250;

    /** Delay before a request to step down that had no effect is repeated, milliseconds. */
    private static final long STEP_DOWN_RETRY_DELAY_MILLIS = 50;

    /** Delay before a target is selected again when there was none, milliseconds. */
    private static final long SELECTION_RETRY_DELAY_MILLIS = 300;

    /** Delay before an unanswered order is repeated or a failed promotion is started again, milliseconds. */
    private static final long ORDER_RETRY_DELAY_MILLIS = 250;

    /** Maximum number of orders of one promotion, the first included. */
    private static final int MAX_ORDERS = 6;

    /** Time in which a promoted endpoint must become the primary, milliseconds: a few times what groups take. */
    static final long PROMOTION_TIMEOUT_MILLIS = 3_000;

    private static final Logger LOG = LogManager.getLogger(ReplicaPromotion.class);

    private final String self;
    private final DatabaseGroup group;
    private final PromotionTargetSelector selector;
    private final PromotionAuthority authority;
    private final PromotionLeaderElection election;
    private final DecisionLoop loop;
    private final PromotionListener listener;
    private Option<Endpoint> oldPrimary = Option.none();
    private boolean planned;
    private int orders;
    private boolean ended;
    private long settledAtMillis = Long.MAX_VALUE;

    ReplicaPromotion(
            String self,
            DatabaseGroup group,
            PromotionTargetSelector selector,
            PromotionAuthority authority,
            PromotionLeaderElection election,
            PromotionListener listener,
            DecisionLoop loop) {
        this.self = self;
        this.group = group;
        this.selector = selector;
        this.authority = authority;
        this.election = election;
        this.listener = listener;
        this.loop = loop;
    }

    /**
     * Starts the promotion.
     *
     * @param replaced the current primary, if there is one
     * @param handover whether the current primary is still reachable and hands over
     * @param cutOff number of VMs that cannot reach the current primary
     */
    void start(Option<Endpoint> replaced, boolean handover, int cutOff) {
        oldPrimary = replaced;
        planned = handover;
        LOG.info(
                "event=promotion_started group={} primary={} planned={} cut_off_vms={} term={}",
                group.name(),
                replaced.map(Endpoint::id).getOrElse("none"),
                handover,
                cutOff,
                group.term());
        selector.select(oldPrimary, this::handleSelection);
    }

    /** Returns whether the promotion has ended and has either taken effect or had enough time to do so. */
    boolean isSettled(long nowMillis) {
        boolean replaced = group.primary()
                .exists(primary ->
                        !oldPrimary.exists(o -> o.id().equals(primary.id())) && group.isReachable(primary.id()));
        return ended && (replaced || nowMillis >= settledAtMillis);
    }

    private void handleSelection(Option<PromotionTarget> target) {
        target.peek(this::orderPromotion).onEmpty(() -> {
            LOG.warn(
                    "event=promotion_postponed group={} endpoints={}",
                    group.name(),
                    group.endpoints().size());
            end(SELECTION_RETRY_DELAY_MILLIS);
        });
    }

    private void orderPromotion(PromotionTarget target) {
        election.recordPromotion(leadership -> {
            if (leadership.isEmpty()) {
                end(0);
                return;
            }
            sendOrder(target, leadership.get());
        });
    }

    private void sendOrder(PromotionTarget target, LeadershipRecord leadership) {
        orders++;
        listener.orderSent();
        PromotionAuthority.Order order =
                new PromotionAuthority.Order(group.name(), target.endpoint().id(), self, leadership.fencingToken());
        authority.promote(order, answer -> {
            LOG.info(
                    "event=promotion_ordered group={} endpoint={} token={} order={} answer={}",
                    group.name(),
                    target.endpoint().id(),
                    leadership.fencingToken(),
                    orders,
                    answer);
            listener.orderAnswered(answer);
            handleAnswer(target, leadership, answer);
        });
    }

    private void handleAnswer(PromotionTarget target, LeadershipRecord leadership, PromotionAuthority.Answer answer) {
        switch (answer) {
            case ACCEPTED -> {
                end(PROMOTION_TIMEOUT_MILLIS);
                if (planned) {
                    stepDownOldPrimary(target.latestTerm());
                }
            }
            case REJECTED -> {
                // The endpoint is down, or another VM has used a higher token; reading the record again tells which.
                election.tokenRejected();
                end(ORDER_RETRY_DELAY_MILLIS);
            }
            default -> {
                if (orders < MAX_ORDERS) {
                    loop.schedule(ORDER_RETRY_DELAY_MILLIS, () -> repeatOrder(target, leadership));
                } else {
                    end(ORDER_RETRY_DELAY_MILLIS);
                }
            }
        }
    }

    /** Repeats an order unless the failed primary is reachable again or this VM has lost the leadership. */
    private void repeatOrder(PromotionTarget target, LeadershipRecord leadership) {
        boolean usable = !planned && group.primary().exists(primary -> group.isReachable(primary.id()));
        if (usable || !election.isLeader()) {
            LOG.info(
                    "event=promotion_abandoned group={} endpoint={} token={} primary_usable={}",
                    group.name(),
                    target.endpoint().id(),
                    leadership.fencingToken(),
                    usable);
            end(0);
        } else {
            sendOrder(target, leadership);
        }
    }

    /**
     * Stops writes at the old primary, so that it acknowledges none that the new primary has not received. The request
     * needs a term above that of the primary, which this VM may not have seen while it has no callers of the group.
     */
    private void stepDownOldPrimary(long latestTerm) {
        long term = Math.max(latestTerm, group.term()) + 1;
        oldPrimary.forEach(primary -> group.sendControl(
                primary.id(), new EndpointCommand.StepDown(term), STEP_DOWN_TIMEOUT_MILLIS, status -> {
                    boolean effective = status.exists(known -> !known.primary());
                    LOG.info(
                            "event=primary_stepped_down group={} endpoint={} term={} answered={} effective={}",
                            group.name(),
                            primary.id(),
                            term,
                            status.isDefined(),
                            effective);
                    if (!effective && !isSettled(loop.nowMillis())) {
                        long reported = status.map(ReplicationStatus::term).getOrElse(latestTerm);
                        loop.schedule(
                                STEP_DOWN_RETRY_DELAY_MILLIS, () -> stepDownOldPrimary(Math.max(latestTerm, reported)));
                    }
                }));
    }

    private void end(long settleMillis) {
        ended = true;
        settledAtMillis = loop.nowMillis() + settleMillis;
    }
}
