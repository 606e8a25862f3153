package org.hyssopswitch.pool.failover;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.ReplicationStatus;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** One promotion: finds the most advanced replica, orders its promotion, and waits for it to lead. */
final class ReplicaPromotion {

    /** Time in which replicas answer the question for their positions, milliseconds. */
    private static final long STATUS_MILLIS = 250;

    /** Time between two questions when too few replicas answered, milliseconds. */
    private static final long STATUS_RETRY_MILLIS = 300;

    /** Pause before an order without an answer is repeated, milliseconds. */
    private static final long ORDER_RETRY_MILLIS = 250;

    /** Orders of one run, the first included. */
    private static final int MAX_ORDERS = 6;

    /** Time in which a promoted endpoint leads, milliseconds: a few times what groups take. */
    private static final long LEAD_MILLIS = 3_000;

    private static final Logger LOG = LogManager.getLogger(ReplicaPromotion.class);

    private final String self;
    private final DatabaseGroup group;
    private final PromotionAuthority authority;
    private final PromotionLeaderElection duty;
    private final DecisionLoop loop;
    private final Set<String> rejected = new HashSet<>();
    private Option<Endpoint> old = Option.none();
    private boolean planned;
    private boolean chosen;
    private int orders;
    private boolean ended;
    private long overAtMillis = Long.MAX_VALUE;

    ReplicaPromotion(
            String self,
            DatabaseGroup group,
            PromotionAuthority authority,
            PromotionLeaderElection duty,
            DecisionLoop loop) {
        this.self = self;
        this.group = group;
        this.authority = authority;
        this.duty = duty;
        this.loop = loop;
    }

    /**
     * Starts the promotion.
     *
     * @param replaced the present primary
     * @param handover whether the present primary still works and hands over
     * @param cutOff number of VMs that cannot use the present primary
     */
    void start(Option<Endpoint> replaced, boolean handover, int cutOff) {
        old = replaced;
        planned = handover;
        LOG.info(
                "event=promotion_started group={} primary={} planned={} cut_off_vms={} term={}",
                group.name(),
                replaced.map(Endpoint::id).getOrElse("none"),
                handover,
                cutOff,
                group.term());
        survey();
    }

    /** Whether the run has ended and its effect had time to show. */
    boolean isSettled(long nowMillis) {
        boolean replaced = group.primary()
                .exists(primary -> !old.exists(o -> o.id().equals(primary.id())) && group.isReachable(primary.id()));
        return ended && (replaced || nowMillis >= overAtMillis);
    }

    private List<Endpoint> candidates() {
        return group.endpoints().stream()
                .filter(endpoint -> !endpoint.draining()
                        && !old.exists(primary -> primary.id().equals(endpoint.id()))
                        && !rejected.contains(endpoint.id())
                        && group.isReachable(endpoint.id()))
                .toList();
    }

    private void survey() {
        List<Endpoint> candidates = candidates();
        List<Found> found = new ArrayList<>();
        candidates.forEach(candidate -> group.queryStatus(candidate.id(), STATUS_MILLIS, status -> {
            status.forEach(known -> found.add(new Found(candidate, known)));
            if (found.size() == candidates.size()) {
                choose(candidates, found);
            }
        }));
        loop.schedule(STATUS_MILLIS, () -> choose(candidates, found));
    }

    private void choose(List<Endpoint> candidates, List<Found> found) {
        if (ended || chosen) {
            return;
        }
        chosen = true;
        Option<Endpoint> best = best(candidates, found);
        if (best.isDefined()) {
            order(best.get());
        } else {
            LOG.warn(
                    "event=promotion_postponed group={} candidates={} answered={}",
                    group.name(),
                    candidates.size(),
                    found.size());
            end(STATUS_RETRY_MILLIS);
        }
    }

    /**
     * The most advanced replica. With synchronous replicas, an acknowledged commit may be on one of them only, so all
     * but as many as may lack it must have answered.
     */
    private Option<Endpoint> best(List<Endpoint> candidates, List<Found> found) {
        int replicas = (int) group.endpoints().stream()
                .filter(endpoint -> !old.exists(o -> o.id().equals(endpoint.id())))
                .count();
        int sync = group.declaration().syncReplicas();
        boolean enough = sync == 0 || found.size() > replicas - sync;
        if (!enough) {
            return Option.none();
        }
        Option<Endpoint> advanced = Option.ofOptional(found.stream()
                .max(Comparator.comparing(Found::received)
                        .thenComparing(one -> one.endpoint().id()))
                .map(Found::endpoint));
        return sync > 0
                ? advanced
                : advanced.orElse(() -> Option.ofOptional(candidates.stream().findFirst()));
    }

    private void order(Endpoint target) {
        duty.recordPromotion(counted -> {
            if (counted.isEmpty()) {
                end(0);
                return;
            }
            send(target, counted.get());
        });
    }

    private void send(Endpoint target, LeadershipRecord counted) {
        orders++;
        PromotionAuthority.Order order =
                new PromotionAuthority.Order(group.name(), target.id(), self, counted.fencingToken());
        authority.promote(order, answer -> {
            LOG.info(
                    "event=promotion_ordered group={} endpoint={} token={} order={} answer={}",
                    group.name(),
                    target.id(),
                    counted.fencingToken(),
                    orders,
                    answer);
            answered(target, counted, answer);
        });
    }

    private void answered(Endpoint target, LeadershipRecord counted, PromotionAuthority.Answer answer) {
        switch (answer) {
            case ACCEPTED -> {
                if (planned) {
                    handOver();
                }
                end(LEAD_MILLIS);
            }
            case REJECTED -> {
                // Either the endpoint is down or another VM has used a higher token: the record tells.
                rejected.add(target.id());
                duty.tokenRejected();
                end(ORDER_RETRY_MILLIS);
            }
            default -> {
                if (orders < MAX_ORDERS) {
                    loop.schedule(ORDER_RETRY_MILLIS, () -> repeat(target, counted));
                } else {
                    end(ORDER_RETRY_MILLIS);
                }
            }
        }
    }

    /** Repeats an order unless the primary has become usable again or this VM has lost the duty meanwhile. */
    private void repeat(Endpoint target, LeadershipRecord counted) {
        boolean usable = !planned && group.primary().exists(primary -> group.isReachable(primary.id()));
        if (usable || !duty.isLeader()) {
            LOG.info(
                    "event=promotion_abandoned group={} endpoint={} token={} primary_usable={}",
                    group.name(),
                    target.id(),
                    counted.fencingToken(),
                    usable);
            end(0);
        } else {
            send(target, counted);
        }
    }

    /** Stops writes at the old primary, so that none is acknowledged that the new one has not received. */
    private void handOver() {
        old.forEach(primary -> group.stepDown(
                primary.id(),
                group.term() + 1,
                STATUS_MILLIS,
                status -> LOG.info(
                        "event=primary_stepped_down group={} endpoint={} answered={}",
                        group.name(),
                        primary.id(),
                        status.isDefined())));
    }

    private void end(long settleMillis) {
        ended = true;
        overAtMillis = loop.nowMillis() + settleMillis;
    }

    private record Found(Endpoint endpoint, ReplicationStatus status) {

        LogPosition received() {
            return status.received();
        }
    }
}
