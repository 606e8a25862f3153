package org.hyssopswitch.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * Offers the statements of roaming sessions to a fleet and to a fixed even split, and compares the refusals of both
 * with an ideal bucket shared by all VMs.
 */
final class LimitLoad {

    private final LimitFleet fleet;
    private final SplittableRandom random;
    private final List<Source> sources = new ArrayList<>();
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>();
    private final Map<ClientAccountId, List<Long>> admissions = new TreeMap<>();
    private long withinRate;
    private long refused;
    private long refusedByEvenSplit;
    private long offered;
    private final int sessions;
    private final double roamsPerSecond;

    LimitLoad(LimitFleet fleet, Map<ClientAccountId, Rate> rates, Shape shape, long seed) {
        this.fleet = fleet;
        this.sessions = shape.sessions();
        this.roamsPerSecond = shape.roamsPerSecond();
        this.random = new SplittableRandom(seed ^ 0x5ca1ab1e);
        rates.forEach((account, rate) -> sources.add(new Source(account, rate, shape.fraction())));
    }

    /** Offers the statements that arrive in the current millisecond, and again those whose wait is over. */
    void step() {
        while (!waiting.isEmpty() && waiting.peek().untilMillis() <= fleet.now()) {
            Waiting next = waiting.poll();
            requestAdmission(next.source(), next.vm(), next.arrivedMillis(), next.withinRate());
        }
        sources.forEach(Source::step);
    }

    Map<ClientAccountId, List<Long>> admissions() {
        return admissions;
    }

    /** Resets the counts. */
    void reset() {
        withinRate = 0;
        refused = 0;
        refusedByEvenSplit = 0;
        offered = 0;
        sources.forEach(Source::reset);
    }

    /** Returns the fraction of the statements admitted by the ideal bucket that the fleet refused. */
    double wrongfulRefusals() {
        return (double) refused / Math.max(1, withinRate);
    }

    double wrongfulRefusalsOfEvenSplit() {
        return (double) refusedByEvenSplit / Math.max(1, withinRate);
    }

    /** Returns the fraction of wrongful refusals of each client account. */
    Map<ClientAccountId, Double> wrongfulByAccount() {
        Map<ClientAccountId, Double> result = new TreeMap<>();
        sources.forEach(s -> result.put(s.account, (double) s.refused / Math.max(1, s.withinRate)));
        return result;
    }

    long offered() {
        return offered;
    }

    private void requestAdmission(Source source, LimitVm vm, long arrivedMillis, boolean counted) {
        if (!vm.isRunning(fleet.now())) {
            return;
        }
        long clock = vm.localMillis(fleet.now());
        Admission admission = vm.system().admit(source.account, vm.localMillis(arrivedMillis), clock);
        if (admission instanceof Admission.Admitted) {
            admissions.computeIfAbsent(source.account, a -> new ArrayList<>()).add(fleet.now());
        } else if (admission instanceof Admission.Wait wait) {
            long until = fleet.now() + Math.max(1, wait.untilMillis() - clock);
            waiting.add(new Waiting(until, source, vm, arrivedMillis, counted));
        } else {
            refused += counted ? 1 : 0;
            source.refused += counted ? 1 : 0;
        }
    }

    private final class Source {

        private final ClientAccountId account;
        private final double arrivalsPerMilli;
        private final TokenBucket idealBucket;
        private long withinRate;
        private long refused;
        private final int[] sessionVms = new int[sessions];
        private final Map<Integer, TokenBucket> evenSplit = new HashMap<>();

        Source(ClientAccountId account, Rate rate, double fraction) {
            this.account = account;
            this.arrivalsPerMilli = rate.perSecond() * fraction / 1_000;
            this.idealBucket = new TokenBucket(rate.perSecond(), rate.burst(), 0);
            int parts = fleet.vms().size();
            for (int i = 0; i < parts; i++) {
                evenSplit.put(i, new TokenBucket(rate.perSecond() / parts, rate.burst() / parts, 0));
            }
        }

        void reset() {
            withinRate = 0;
            refused = 0;
        }

        void step() {
            if (random.nextDouble() < roamsPerSecond / 1_000) {
                sessionVms[random.nextInt(sessionVms.length)] =
                        random.nextInt(fleet.vms().size());
            }
            double expected = arrivalsPerMilli;
            while (random.nextDouble() < expected) {
                arrive();
                expected -= 1;
            }
        }

        private void arrive() {
            int vm = sessionVms[random.nextInt(sessionVms.length)];
            boolean counted =
                    idealBucket.tryTake(fleet.now()) && fleet.vms().get(vm).isRunning(fleet.now());
            offered++;
            LimitLoad.this.withinRate += counted ? 1 : 0;
            withinRate += counted ? 1 : 0;
            refusedByEvenSplit += !evenSplit.get(vm).tryTake(fleet.now()) && counted ? 1 : 0;
            requestAdmission(this, fleet.vms().get(vm), fleet.now(), counted);
        }
    }

    /**
     * The shape of a load.
     *
     * @param fraction offered rate as a fraction of the declared rate
     * @param sessions sessions of each client account
     * @param roamsPerSecond moves per second of a client account's sessions to another VM, all sessions together
     */
    record Shape(double fraction, int sessions, double roamsPerSecond) {}

    private record Waiting(long untilMillis, Source source, LimitVm vm, long arrivedMillis, boolean withinRate)
            implements Comparable<Waiting> {
        @Override
        public int compareTo(Waiting other) {
            return Long.compare(untilMillis, other.untilMillis);
        }
    }
}
