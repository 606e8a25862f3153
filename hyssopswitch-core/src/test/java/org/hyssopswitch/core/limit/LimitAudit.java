package org.hyssopswitch.core.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.identity.ClientAccountId;

/** Checks that in every window of time the admissions of all VMs together are within rate and burst. */
final class LimitAudit {

    /** Fraction by which the clocks of VMs may run faster than true time. */
    private static final double MAX_CLOCK_DRIFT = 0.004;

    /** Allowance for the rounding of times to milliseconds at both ends of a window. */
    private static final double ROUNDING_ALLOWANCE_MILLIS = 3;

    private LimitAudit() {}

    static List<String> breaches(Map<ClientAccountId, List<Long>> admissions, Map<ClientAccountId, Rate> rates) {
        List<String> breaches = new ArrayList<>();
        admissions.forEach((account, times) -> {
            double excess = excess(times, rates.get(account));
            if (excess > 1e-6) {
                breaches.add(account + " exceeds its rate and burst by " + excess);
            }
        });
        return breaches;
    }

    /**
     * Compares what all VMs hold now with the rate and burst. Returns one entry for each client account whose holders
     * exceed them.
     */
    static List<String> excessHoldings(LimitFleet fleet, Map<ClientAccountId, Rate> rates) {
        List<String> breaches = new ArrayList<>();
        rates.forEach((account, rate) -> {
            RateShare held = fleet.vms().stream()
                    .filter(vm -> vm.isRunning(fleet.now()))
                    .map(vm -> vm.system().heldShare(account, vm.localMillis(fleet.now())))
                    .reduce(RateShare.NONE, RateShare::plus);
            if (!held.fitsWithin(new RateShare(rate.perSecond() + 1e-6, rate.burst() + 1e-6))) {
                breaches.add("at " + fleet.now() + " " + account + " holds " + held + " of " + rate);
            }
        });
        return breaches;
    }

    private static double excess(List<Long> times, Rate rate) {
        List<Long> sorted = new ArrayList<>(times);
        Collections.sort(sorted);
        double perMilli = rate.perSecond() * (1 + MAX_CLOCK_DRIFT) / 1_000;
        double lowest = Double.MAX_VALUE;
        double worst = 0;
        for (int i = 0; i < sorted.size(); i++) {
            double level = i - perMilli * sorted.get(i);
            lowest = Math.min(lowest, level);
            worst = Math.max(worst, level + 1 - lowest - rate.burst() - perMilli * ROUNDING_ALLOWANCE_MILLIS);
        }
        return worst;
    }
}
