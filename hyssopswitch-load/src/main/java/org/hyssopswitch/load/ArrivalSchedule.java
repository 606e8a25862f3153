package org.hyssopswitch.load;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.hyssopswitch.load.profile.AccountProfile;

/** Poisson arrivals of all client accounts, merged in order of time. The same seed gives the same arrivals. */
final class ArrivalSchedule {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PriorityQueue<Next> queue = new PriorityQueue<>(Comparator.comparingDouble(Next::nanos));

    ArrivalSchedule(List<AccountProfile> accounts, SplittableRandom random) {
        for (AccountProfile account : accounts) {
            SplittableRandom own = random.split();
            queue.add(new Next(account, own, interval(account, own)));
        }
    }

    /** The next arrival; there is always one. */
    Next next() {
        Next next = queue.remove();
        double following = next.nanos() + interval(next.account(), next.random());
        queue.add(new Next(next.account(), next.random(), following));
        return next;
    }

    private static double interval(AccountProfile account, SplittableRandom random) {
        return -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / account.demandPerSecond();
    }

    /** An arrival: nanoseconds from the start, and the generator of the account's further draws. */
    record Next(AccountProfile account, SplittableRandom random, double nanos) {}
}
