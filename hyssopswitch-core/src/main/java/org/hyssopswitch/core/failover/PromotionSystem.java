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
 * Coordinates promotions in the groups in which this VM is the home of an endpoint.
 *
 * <p>When a promotion is required, the home of the most advanced replica starts first and the other homes after a delay
 * that grows with their rank. A coordinator claims the failover lease of the platform, and continues without it if the
 * platform is unreachable.
 */
public final class PromotionSystem implements DecisionSystem {

    private static final long ATTEMPT_TIMEOUT_MILLIS = 3_000;
    private static final long LEASE_TIMEOUT_MILLIS = 300;
    private static final long LEASE_EXPIRY_MILLIS = 1_500;
    private static final long INITIAL_BACKOFF_MILLIS = 300;
    private static final long MAX_BACKOFF_MILLIS = 1_200;
    private static final long MAX_TICK_GAP_MILLIS = 1_000;

    private final GroupMonitorSystem monitor;
    private final GroupTable groups;
    private final ControlRouter router;
    private final SuspicionPolicy policy;
    private final FailoverSettings settings;
    private final LongSupplier numbers;
    private final RandomGenerator random;
    private final String coordinator;
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
     * @param policy decides whether a group requires a promotion
     * @param settings timings of failure detection and promotion
     * @param numbers allocates call numbers that are unique within this VM
     * @param random source of jitter
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
        this.coordinator = self.vm() + "/" + self.incarnation();
    }

    /** Returns the number of promotions that this VM has completed. */
    public long completed() {
        return completed;
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        if (nowMillis - lastTickMillis > MAX_TICK_GAP_MILLIS) {
            // This VM was paused, so its promotion state is outdated.
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
            promotions.values().forEach(p -> p.onAnswer(answered, nowMillis, out));
        }
    }

    private void advance(DatabaseDeclaration database, long nowMillis, Outbox out) {
        GroupPromotion promotion = promotions.computeIfAbsent(database.id(), id -> new GroupPromotion());
        if (promotion.attempt != null) {
            promotion.stepAttempt(database, nowMillis, out);
        } else if (requiredPromotion(database, nowMillis) == RequiredPromotion.NONE) {
            promotion.reset();
        } else if (promotion.claim != null) {
            promotion.stepClaim(database, nowMillis, out);
        } else if (promotion.checkTurn(database, nowMillis)) {
            promotion.startClaim(database, nowMillis, out);
        }
    }

    private RequiredPromotion requiredPromotion(DatabaseDeclaration database, long nowMillis) {
        return policy.evaluate(database, groups, nowMillis);
    }

    /** Returns the endpoints that should not become primary: those leaving, and the primary that is to be replaced. */
    private Set<EndpointId> avoided(DatabaseDeclaration database, long nowMillis) {
        Set<EndpointId> avoided = new HashSet<>();
        database.endpoints().stream().filter(EndpointDeclaration::leaving).forEach(e -> avoided.add(e.id()));
        if (requiredPromotion(database, nowMillis) == RequiredPromotion.REPLACE) {
            groups.primary(database).ifPresent(p -> avoided.add(p.status().endpoint()));
        }
        return avoided;
    }

    /**
     * Returns the rank of this VM among the coordinators. The home of the most advanced replica that stays has rank 0;
     * empty if this VM is the home of no endpoint of the group.
     */
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
                .filter(r -> r.isFresh(nowMillis, settings.maxReportAgeMillis()) && !r.isPrimary())
                .map(r -> r.status().applied())
                .orElse(LogPosition.ZERO);
    }

    /**
     * Returns the highest term that this VM has used or seen in a failed attempt. It is kept while the VM runs, so that
     * the VM never uses a term twice.
     */
    private long usedTerm(DatabaseDeclaration database) {
        return usedTerms.getOrDefault(database.id(), 0L);
    }

    /** Promotion state of one group. */
    private final class GroupPromotion {
        private static final long UNSET = Long.MAX_VALUE;

        private long turnMillis = UNSET;
        private long holderFirstSeenMillis = UNSET;
        private long claimStartMillis;
        private int failures;
        private FailoverLeaseClaim claim;
        private PromotionAttempt attempt;

        private void reset() {
            turnMillis = UNSET;
            holderFirstSeenMillis = UNSET;
            claim = null;
            failures = 0;
        }

        /** Schedules the turn of this VM unless it is scheduled, and returns whether it has come. */
        private boolean checkTurn(DatabaseDeclaration database, long nowMillis) {
            if (turnMillis == UNSET) {
                long rank =
                        rank(database, nowMillis).orElse(database.endpoints().size());
                turnMillis = nowMillis + rank * settings.rankDelayMillis() + jitter(settings.rankDelayMillis() / 3);
            }
            return nowMillis >= turnMillis;
        }

        private void startClaim(DatabaseDeclaration database, long nowMillis, Outbox out) {
            long known = Math.max(usedTerm(database), groups.highestTerm(database));
            claim = new FailoverLeaseClaim(database.id(), coordinator, known, numbers);
            claimStartMillis = nowMillis;
            claim.start(out);
        }

        private void onAnswer(Event.ObjectCallCompleted answered, long nowMillis, Outbox out) {
            if (claim != null) {
                boolean leaseExpired =
                        holderFirstSeenMillis != UNSET && nowMillis - holderFirstSeenMillis >= LEASE_EXPIRY_MILLIS;
                claim.onAnswer(answered.call(), answered.result(), leaseExpired, out);
            }
        }

        private void stepClaim(DatabaseDeclaration database, long nowMillis, Outbox out) {
            if (nowMillis - claimStartMillis >= LEASE_TIMEOUT_MILLIS) {
                claim.timeOut();
            }
            if (claim.state() == FailoverLeaseClaim.State.TAKEN) {
                holderFirstSeenMillis = Math.min(holderFirstSeenMillis, nowMillis);
                backOff(nowMillis);
            } else if (claim.state() != FailoverLeaseClaim.State.PENDING) {
                long term = Math.max(claim.knownTerm(), groups.highestTerm(database)) + 1;
                usedTerms.put(database.id(), term);
                long deadline = nowMillis + ATTEMPT_TIMEOUT_MILLIS;
                attempt = new PromotionAttempt(
                        database, term, coordinator, avoided(database, nowMillis), deadline, router);
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
                reset();
                monitor.publish(database, status, nowMillis, out);
            } else if (attempt.state() == PromotionAttempt.State.FAILED) {
                usedTerms.merge(database.id(), attempt.highestTerm(), Math::max);
                attempt = null;
                backOff(nowMillis);
            }
        }

        private void backOff(long nowMillis) {
            claim = null;
            failures++;
            long mean = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures - 1, 4));
            turnMillis = nowMillis + mean / 2 + jitter(mean);
        }

        private long jitter(long millis) {
            return random.nextLong(Math.max(1, millis));
        }
    }
}
