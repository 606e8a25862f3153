package org.hyssopswitch.pool.quota;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.limit.TokenBucket;

/** One VM's share of a client account's rate, and the operations that wait for it. */
final class AccountShare {

    /** Time for which operations are kept ahead, milliseconds: several exchanges between VMs. */
    private static final double AHEAD_MILLIS = 500;

    /** Operations ahead below which none is kept for the variation of demand: others ask for it more. */
    private static final double SMALL_DEMAND = 0.5;

    /** Operations that may wait whatever the rate, so that those of a small account can be moved to it. */
    private static final int MIN_WAITING = 2;

    /** Fewest operations that are worth a request to other VMs. */
    private static final double LEAST_MISSING = 0.25;

    /** Time over which demand is averaged, milliseconds. */
    private static final double DEMAND_MILLIS = 1_000;

    /** Time for which a VM without a share of its own keeps operations that it does not use, milliseconds. */
    private static final long BORROWED_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Longest wait told to a caller, milliseconds. */
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final TokenBucket bucket;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double demandPerMilli;
    private long demandMillis;
    private double fleetRate;
    private List<String> others = List.of();
    private int turn;
    private boolean borrower;
    private long usedMillis;

    /**
     * Creates a share without operations.
     *
     * @param firstTurn which of the others is asked first; should differ between VMs
     * @param nowMillis milliseconds of the monotonic clock
     */
    AccountShare(int firstTurn, long nowMillis) {
        this.turn = firstTurn;
        this.bucket = new TokenBucket(0, 0, nowMillis);
        this.demandMillis = nowMillis;
    }

    /**
     * Takes the declared limit.
     *
     * @param rate the limit of all VMs together
     * @param sharingVms number of VMs that share it when this is one of them, otherwise 0
     * @param sharing the other VMs that share it
     * @param nowMillis milliseconds of the monotonic clock
     */
    void resize(Rate rate, int sharingVms, List<String> sharing, long nowMillis) {
        fleetRate = rate.perSecond();
        others = sharing;
        borrower = sharingVms == 0;
        if (borrower) {
            bucket.resize(0, Math.max(1, rate.burst() / Math.max(1, sharing.size())), nowMillis);
        } else {
            bucket.resize(rate.perSecond() / sharingVms, Math.max(1, rate.burst() / sharingVms), nowMillis);
        }
    }

    /** The other VMs that share the limit. */
    List<String> otherSharingVms() {
        return others;
    }

    /** One of the others, each in turn. */
    Option<String> nextSharingVm() {
        if (others.isEmpty()) {
            return Option.none();
        }
        turn = Math.floorMod(turn + 1, others.size());
        return Option.some(others.get(turn));
    }

    boolean tryTake(long nowMillis) {
        decayDemand(nowMillis);
        usedMillis = nowMillis;
        demandPerMilli += 1 / DEMAND_MILLIS;
        return waiting.isEmpty() && bucket.tryTake(nowMillis);
    }

    /** Lets an operation wait unless more wait already than the whole fleet's rate could admit in the time. */
    void enqueueOrRefuse(AccountLimiter.Admission admission, long nowMillis, long maxWaitMillis) {
        double admissible = fleetRate * maxWaitMillis / MILLIS_PER_SECOND;
        if (waiting.size() >= Math.max(MIN_WAITING, admissible)) {
            admission.refused(retryAfterMillis(nowMillis));
        } else {
            waiting.addLast(new Waiting(admission, nowMillis + maxWaitMillis));
        }
    }

    /** Admits what waits as far as operations are free, and refuses what has waited too long. */
    void processWaiting(long nowMillis) {
        if (borrower && nowMillis - usedMillis > BORROWED_MILLIS) {
            bucket.withdraw(bucket.burst(), nowMillis);
        }
        if (waiting.isEmpty()) {
            return;
        }
        waiting.removeIf(one -> !one.admission().isPending());
        List<Waiting> admitted = new ArrayList<>();
        while (!waiting.isEmpty() && bucket.tryTake(nowMillis)) {
            admitted.add(waiting.removeFirst());
        }
        List<Waiting> refused = new ArrayList<>();
        while (!waiting.isEmpty() && nowMillis >= waiting.peekFirst().untilMillis()) {
            refused.add(waiting.removeFirst());
        }
        long retryMillis = retryAfterMillis(nowMillis);
        admitted.forEach(one -> one.admission().admitted());
        refused.forEach(one -> one.admission().refused(retryMillis));
    }

    /** Whether operations wait for the rate. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Operations that are likely to be asked for soon and are not at hand. */
    double missingTokens(long nowMillis) {
        double missing = targetTokens(nowMillis) - bucket.tokens(nowMillis);
        return missing < LEAST_MISSING && waiting.isEmpty() ? 0 : Math.max(0, missing);
    }

    /** Hands over up to half of what this VM will not need soon, and one whole operation if there is one. */
    double withdrawUnused(double wanted, long nowMillis) {
        double spare = bucket.tokens(nowMillis) - targetTokens(nowMillis);
        return spare <= 0 ? 0 : bucket.withdraw(Math.min(wanted, Math.max(spare / 2, Math.min(1, spare))), nowMillis);
    }

    void deposit(double tokens, long nowMillis) {
        // More than is missing is asked for, so twice as much may arrive; none of it may be lost.
        double limit = Math.max(bucket.burst(), 2 * targetTokens(nowMillis) + 1);
        bucket.deposit(tokens, limit, nowMillis);
        processWaiting(nowMillis);
    }

    /** Operations to have at hand: for what waits, for the demand of a while, and one for its variation. */
    private double targetTokens(long nowMillis) {
        decayDemand(nowMillis);
        double ahead = demandPerMilli * AHEAD_MILLIS;
        boolean large = ahead > SMALL_DEMAND;
        // What a borrower asks for and does not use is lost to the account.
        return waiting.size() + (borrower && !large ? 0 : ahead) + (large ? 1 : 0);
    }

    private long retryAfterMillis(long nowMillis) {
        return bucket.millisUntilToken(nowMillis, MAX_RETRY_MILLIS);
    }

    private void decayDemand(long nowMillis) {
        if (nowMillis > demandMillis) {
            demandPerMilli *= Math.exp((demandMillis - nowMillis) / DEMAND_MILLIS);
            demandMillis = nowMillis;
        }
    }

    private record Waiting(AccountLimiter.Admission admission, long untilMillis) {}
}
