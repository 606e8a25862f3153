package org.hyssopswitch.core.fairness;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.limit.EvenSplitRateLimiter;
import org.hyssopswitch.core.limit.RateLimiter;

/** Simulates statements of eight accounts at one endpoint with three slots, in steps of a tenth of a millisecond. */
final class FairnessSimulation {

    private static final double[] RATES = {120, 90, 60, 30, 20, 15, 10, 5};
    private static final double LOAD_FACTOR = 0.8;
    private static final int SLOTS = 3;
    private static final double MEAN_SERVICE_MILLIS = 5;
    private static final long RUN_MILLIS = 300_000;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final int STEPS_PER_MILLI = 10;

    private final Map<ClientAccountId, List<Double>> latencies = new HashMap<>();
    private final StatementQueue<WaitingStatement> queue;
    private final Optional<RateLimiter> limiter;
    private final SplittableRandom serviceTimes;
    private final double[] slotFreeMillis = new double[SLOTS];
    private long refusedOthers;

    private FairnessSimulation(StatementQueue<WaitingStatement> queue, Optional<RateLimiter> limiter, long seed) {
        this.queue = queue;
        this.limiter = limiter;
        this.serviceTimes = new SplittableRandom(seed + 1);
    }

    /** Runs the simulation with the account of the highest rate at a multiple of its rate. */
    static FairnessSimulation run(
            StatementQueue<WaitingStatement> queue, Optional<RateLimiter> limiter, double rateMultiple, long seed) {
        FairnessSimulation run = new FairnessSimulation(queue, limiter, seed);
        List<SplittableRandom> arrivals = new ArrayList<>();
        for (int i = 0; i < RATES.length; i++) {
            arrivals.add(new SplittableRandom(seed * 31 + i));
        }
        for (long step = 0; step < RUN_MILLIS * STEPS_PER_MILLI; step++) {
            run.step((double) step / STEPS_PER_MILLI, arrivals, rateMultiple);
        }
        return run;
    }

    /** Returns a limiter that enforces the full rate of every account. */
    static RateLimiter limiter() {
        EvenSplitRateLimiter limiter = new EvenSplitRateLimiter(1);
        TeamId team = new TeamId("team");
        List<AccountDeclaration> accounts = new ArrayList<>();
        for (int i = 0; i < RATES.length; i++) {
            ClientAccountId id = new ClientAccountId("a" + i);
            accounts.add(new AccountDeclaration(id, new Rate(RATES[i], 50), List.of(), List.of()));
        }
        TeamConfiguration tree = new TeamConfiguration(team, 1, List.of(), accounts, List.of());
        limiter.configure(new Configuration(1, Map.of(team, tree)), -10_000, a -> {});
        return limiter;
    }

    static double rate(ClientAccountId account) {
        return RATES[Integer.parseInt(account.value().substring(1))];
    }

    long refusedOthers() {
        return refusedOthers;
    }

    double worstP99() {
        return others().stream().mapToDouble(this::p99).max().orElse(0);
    }

    double worstP99Ratio(FairnessSimulation baseline) {
        return others().stream()
                .mapToDouble(a -> p99(a) / baseline.p99(a))
                .max()
                .orElse(0);
    }

    private void step(double exactMillis, List<SplittableRandom> arrivals, double rateMultiple) {
        long nowMillis = (long) exactMillis;
        for (int i = 0; i < RATES.length; i++) {
            double rate = RATES[i] * LOAD_FACTOR * (i == 0 ? rateMultiple / LOAD_FACTOR : 1);
            if (arrivals.get(i).nextDouble() < rate / 1_000 / STEPS_PER_MILLI) {
                offer(
                        new WaitingStatement(new ClientAccountId("a" + i), exactMillis, nowMillis + DEADLINE_MILLIS),
                        nowMillis);
            }
        }
        queue.removeDropped(nowMillis).forEach(this::countRefusal);
        for (int slot = 0; slot < SLOTS; slot++) {
            if (slotFreeMillis[slot] <= exactMillis) {
                serve(slot, exactMillis, nowMillis);
            }
        }
    }

    private void offer(WaitingStatement statement, long nowMillis) {
        if (limiter.flatMap(l -> l.tryAcquire(statement.account(), nowMillis).toJavaOptional())
                .isPresent()) {
            countRefusal(statement);
            return;
        }
        if (queue.offer(statement.account(), statement, statement.deadlineMillis(), nowMillis)
                .isDefined()) {
            countRefusal(statement);
        }
    }

    private void serve(int slot, double exactMillis, long nowMillis) {
        queue.poll(nowMillis).ifPresent(statement -> {
            slotFreeMillis[slot] = exactMillis - MEAN_SERVICE_MILLIS * Math.log(1 - serviceTimes.nextDouble());
            latencies
                    .computeIfAbsent(statement.account(), a -> new ArrayList<>())
                    .add(slotFreeMillis[slot] - statement.arrivedMillis());
        });
    }

    private void countRefusal(WaitingStatement statement) {
        refusedOthers += statement.account().value().equals("a0") ? 0 : 1;
    }

    private List<ClientAccountId> others() {
        return latencies.keySet().stream().filter(a -> !a.value().equals("a0")).toList();
    }

    private double p99(ClientAccountId account) {
        List<Double> sorted = new ArrayList<>(latencies.get(account));
        Collections.sort(sorted);
        return sorted.get((int) (sorted.size() * 0.99));
    }

    /** A statement that waits for a slot. */
    record WaitingStatement(ClientAccountId account, double arrivedMillis, long deadlineMillis) {}
}
