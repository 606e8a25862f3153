package org.hyssopswitch.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Orders promotions in the groups that this VM is a home of.
 *
 * <p>When a promotion is due, the home of the most advanced replica begins first and the others after a delay each. An
 * orderer claims the platform's lease when the platform answers, and goes on without it when it does not.
 */
public final class PromotionSystem implements DecisionSystem {

    private static final long ATTEMPT_MILLIS = 3_000;
    private static final long LEASE_TIMEOUT_MILLIS = 300;
    private static final long LEASE_RESPECT_MILLIS = 1_500;
    private static final long BACKOFF_MILLIS = 300;
    private static final long MAX_BACKOFF_MILLIS = 1_200;
    private static final long MAX_TICK_GAP_MILLIS = 1_000;

    private final GroupMonitorSystem monitor;
    private final GroupTable groups;
    private final ControlRouter router;
    private final SuspicionPolicy policy;
    private final FailoverSettings settings;
    private final LongSupplier numbers;
    private final RandomGenerator random;
    private final String orderer;
    private final Map<DatabaseId, GroupPromotion> promotions = new HashMap<>();
    private final Map<DatabaseId, Long> usedTerms = new HashMap<>();
    private long lastTickMillis = Long.MIN_VALUE / 2;
    private long completed;

    /**
     * Creates the system.
     *
     * @param self this VM
     * @param monitor the groups of this VM
     * @param groups the reports about them
     * @param router makes the control calls
     * @param policy decides whether a promotion is due
     * @param settings times
     * @param numbers numbers calls uniquely within this VM
     * @param random jitter
     */
    public PromotionSystem(
            VmAddress self,
            GroupMonitorSystem monitor,
            GroupTable groups,
            ControlRouter router,
            SuspicionPolicy policy,
            FailoverSettings settings,
            LongSupplier numbers,
            RandomGenerator random) {
        this.monitor = monitor;
        this.groups = groups;
        this.router = router;
        this.policy = policy;
        this.settings = settings;
        this.numbers = numbers;
        this.random = random;
        this.orderer = self.vm() + "/" + self.incarnation();
    }

    /** The number of promotions that this VM has completed. */
    public long completed() {
        return completed;
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        if (nowMillis - lastTickMillis > MAX_TICK_GAP_MILLIS) {
            // this VM was paused: what it believed before is outdated
            promotions.clear();
        }
        lastTickMillis = nowMillis;
        List<DatabaseDeclaration> own = monitor.ownGroups();
        Set<DatabaseId> ids = new HashSet<>();
        own.forEach(d -> ids.add(d.id()));
        promotions.keySet().retainAll(ids);
        own.forEach(d -> advance(d, nowMillis, out));
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (event instanceof Event.ObjectCallCompleted answered) {
            promotions.values().forEach(p -> p.answered(answered, nowMillis, out));
        }
    }

    private void advance(DatabaseDeclaration database, long nowMillis, Outbox out) {
        GroupPromotion promotion = promotions.computeIfAbsent(database.id(), id -> new GroupPromotion());
        if (promotion.attempt != null) {
            promotion.stepAttempt(database, nowMillis, out);
        } else if (need(database, nowMillis) == PromotionNeed.NONE) {
            promotion.calm();
        } else if (promotion.claim != null) {
            promotion.stepClaim(database, nowMillis, out);
        } else if (promotion.isTurn(database, nowMillis)) {
            promotion.begin(database, nowMillis, out);
        }
    }

    private PromotionNeed need(DatabaseDeclaration database, long nowMillis) {
        return policy.need(database, groups, nowMillis);
    }

    /** The endpoints that should not become primary: those leaving, and the primary that is to be replaced. */
    private Set<EndpointId> avoided(DatabaseDeclaration database, long nowMillis) {
        Set<EndpointId> avoided = new HashSet<>();
        database.endpoints().stream().filter(EndpointDeclaration::leaving).forEach(e -> avoided.add(e.id()));
        if (need(database, nowMillis) == PromotionNeed.REPLACE) {
            groups.primary(database).ifPresent(p -> avoided.add(p.status().endpoint()));
        }
        return avoided;
    }

    /** The place of this VM among the orderers: the home of the most advanced staying replica comes first. */
    private OptionalInt rank(DatabaseDeclaration database, long nowMillis) {
        Comparator<EndpointDeclaration> order = Comparator.comparing(EndpointDeclaration::leaving)
                .thenComparing(e -> applied(e, nowMillis), Comparator.reverseOrder())
                .thenComparing(EndpointDeclaration::id);
        List<EndpointDeclaration> ranked =
                database.endpoints().stream().sorted(order).toList();
        return IntStream.range(0, ranked.size())
                .filter(i -> monitor.isHomeOf(ranked.get(i).id()))
                .findFirst();
    }

    private LogPosition applied(EndpointDeclaration endpoint, long nowMillis) {
        return groups.row(endpoint.id())
                .filter(r -> r.isFresh(nowMillis, settings.reportAgeMillis()) && !r.isPrimary())
                .map(r -> r.status().applied())
                .orElse(LogPosition.ZERO);
    }

    /** The highest term this VM has ordered; kept as long as the VM runs, so that it never orders a term twice. */
    private long usedTerm(DatabaseDeclaration database) {
        return usedTerms.getOrDefault(database.id(), 0L);
    }

    /** The promotion state of one group. */
    private final class GroupPromotion {
        private static final long NOT_DUE = Long.MAX_VALUE;

        private long turnMillis = NOT_DUE;
        private long holderSeenMillis = NOT_DUE;
        private long claimedMillis;
        private int failures;
        private LeaseClaim claim;
        private PromotionAttempt attempt;

        private void calm() {
            turnMillis = NOT_DUE;
            holderSeenMillis = NOT_DUE;
            claim = null;
            failures = 0;
        }

        private boolean isTurn(DatabaseDeclaration database, long nowMillis) {
            if (turnMillis == NOT_DUE) {
                long rank =
                        rank(database, nowMillis).orElse(database.endpoints().size());
                turnMillis = nowMillis + rank * settings.rankDelayMillis() + jitter(settings.rankDelayMillis() / 3);
            }
            return nowMillis >= turnMillis;
        }

        private void begin(DatabaseDeclaration database, long nowMillis, Outbox out) {
            long known = Math.max(usedTerm(database), groups.highestTerm(database));
            claim = new LeaseClaim(database.id(), orderer, known, numbers);
            claimedMillis = nowMillis;
            claim.start(out);
        }

        private void answered(Event.ObjectCallCompleted answered, long nowMillis, Outbox out) {
            if (claim != null) {
                boolean lapsed = holderSeenMillis != NOT_DUE && nowMillis - holderSeenMillis >= LEASE_RESPECT_MILLIS;
                claim.answered(answered.call(), answered.result(), lapsed, out);
            }
        }

        private void stepClaim(DatabaseDeclaration database, long nowMillis, Outbox out) {
            if (nowMillis - claimedMillis >= LEASE_TIMEOUT_MILLIS) {
                claim.timeOut();
            }
            if (claim.state() == LeaseClaim.State.TAKEN) {
                holderSeenMillis = Math.min(holderSeenMillis, nowMillis);
                backOff(nowMillis);
            } else if (claim.state() != LeaseClaim.State.PENDING) {
                long term = Math.max(claim.knownTerm(), groups.highestTerm(database)) + 1;
                usedTerms.put(database.id(), term);
                long deadline = nowMillis + ATTEMPT_MILLIS;
                attempt = new PromotionAttempt(database, term, orderer, avoided(database, nowMillis), deadline, router);
                claim = null;
                stepAttempt(database, nowMillis, out);
            }
        }

        private void stepAttempt(DatabaseDeclaration database, long nowMillis, Outbox out) {
            attempt.step(nowMillis, out);
            if (attempt.state() == PromotionAttempt.State.DONE) {
                EndpointStatus status = attempt.promoted().orElseThrow();
                completed++;
                attempt = null;
                calm();
                monitor.announce(database, status, nowMillis, out);
            } else if (attempt.state() == PromotionAttempt.State.FAILED) {
                usedTerms.merge(database.id(), attempt.highestTerm(), Math::max);
                attempt = null;
                backOff(nowMillis);
            }
        }

        private void backOff(long nowMillis) {
            claim = null;
            failures++;
            long mean = Math.min(MAX_BACKOFF_MILLIS, BACKOFF_MILLIS << Math.min(failures - 1, 4));
            turnMillis = nowMillis + mean / 2 + jitter(mean);
        }

        private long jitter(long millis) {
            return random.nextLong(Math.max(1, millis));
        }
    }
}
