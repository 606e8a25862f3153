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
    private static final double DEMAND_HORIZON_MILLIS = 500;

    /** Operations ahead below which none is kept for the variation of demand: others ask for it more. */
    private static final double SMALL_DEMAND_TOKENS = 0.5;

    /** Operations that may wait whatever the rate, so that those of a small account can be moved to it. */
    private static final int MIN_QUEUE_CAPACITY = 2;

    /** Fewest operations that are worth a request to other VMs. */
    private static final double MIN_REQUEST_TOKENS = 0.25;

    /** Time over which demand is averaged, milliseconds. */
    private static final double DEMAND_AVERAGING_MILLIS = 1_000;

    /** Time for which a VM without a share of its own keeps operations that it does not use, milliseconds. */
    private static final long UNUSED_TOKEN_RETENTION_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Longest wait told to a caller, milliseconds. */
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    private final TokenBucket bucket;
    private final Deque<WaitingOperation> waiting = new ArrayDeque<>();
    private double demandPerMilli;
    private long demandUpdatedMillis;
    private double fleetRate;
    private List<String> otherSharingVms = List.of();
    private int rotation;
    private boolean withoutShare;
    private long lastUseMillis;

    /**
     * Creates a share without operations.
     *
     * @param firstRotation which of the others is asked first; should differ between VMs
     * @param nowMillis milliseconds of the monotonic clock
     */
    AccountShare(int firstRotation, long nowMillis) {
        this.rotation = firstRotation;
        this.bucket = new TokenBucket(0, 0, nowMillis);
        this.demandUpdatedMillis = nowMillis;
    }

    /**
     * Takes the declared limit.
     *
     * @param rate the limit of all VMs together
     * @param sharingVms number of VMs that share it when this is one of them, otherwise 0
     * @param otherVms the other VMs that share it
     * @param nowMillis milliseconds of the monotonic clock
     */
    void resize(Rate rate, int sharingVms, List<String> otherVms, long nowMillis) {
        fleetRate = rate.perSecond();
        otherSharingVms = otherVms;
        withoutShare = sharingVms == 0;
        if (withoutShare) {
            bucket.resize(0, Math.max(1, rate.burst() / Math.max(1, otherVms.size())), nowMillis);
        } else {
            bucket.resize(rate.perSecond() / sharingVms, Math.max(1, rate.burst() / sharingVms), nowMillis);
        }
    }

    /** The other VMs that share the limit. */
    List<String> otherSharingVms() {
        return otherSharingVms;
    }

    /** One of the others, each in turn. */
    Option<String> nextSharingVm() {
        if (otherSharingVms.isEmpty()) {
            return Option.none();
        }
        rotation = Math.floorMod(rotation + 1, otherSharingVms.size());
        return Option.some(otherSharingVms.get(rotation));
    }

    boolean tryTake(long nowMillis) {
        decayDemand(nowMillis);
        lastUseMillis = nowMillis;
        demandPerMilli += 1 / DEMAND_AVERAGING_MILLIS;
        return waiting.isEmpty() && bucket.tryTake(nowMillis);
    }

    /** Lets an operation wait unless more wait already than the whole fleet's rate could admit in the time. */
    void enqueueOrRefuse(AccountLimiter.AdmissionListener listener, long nowMillis, long maxWaitMillis) {
        double admissible = fleetRate * maxWaitMillis / MILLIS_PER_SECOND;
        if (waiting.size() >= Math.max(MIN_QUEUE_CAPACITY, admissible)) {
            listener.refused(retryAfterMillis(nowMillis));
        } else {
            waiting.addLast(new WaitingOperation(listener, nowMillis + maxWaitMillis));
        }
    }

    /** Admits what waits as far as operations are free, and refuses what has waited too long. */
    void processWaiting(long nowMillis) {
        if (withoutShare && nowMillis - lastUseMillis > UNUSED_TOKEN_RETENTION_MILLIS) {
            bucket.withdraw(bucket.burst(), nowMillis);
        }
        if (waiting.isEmpty()) {
            return;
        }
        waiting.removeIf(operation -> !operation.listener().isPending());
        List<WaitingOperation> admitted = new ArrayList<>();
        while (!waiting.isEmpty() && bucket.tryTake(nowMillis)) {
            admitted.add(waiting.removeFirst());
        }
        List<WaitingOperation> refused = new ArrayList<>();
        while (!waiting.isEmpty() && nowMillis >= waiting.peekFirst().deadlineMillis()) {
            refused.add(waiting.removeFirst());
        }
        long retryAfterMillis = retryAfterMillis(nowMillis);
        admitted.forEach(operation -> operation.listener().admitted());
        refused.forEach(operation -> operation.listener().refused(retryAfterMillis));
    }

    /** Whether operations wait for the rate. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Operations that are likely to be asked for soon and are not at hand. */
    double missingTokens(long nowMillis) {
        double missing = targetTokens(nowMillis) - bucket.tokens(nowMillis);
        return missing < MIN_REQUEST_TOKENS && waiting.isEmpty() ? 0 : Math.max(0, missing);
    }

    /** Hands over up to half of what this VM will not need soon, and one whole operation if there is one. */
    double withdrawUnused(double requested, long nowMillis) {
        double unused = bucket.tokens(nowMillis) - targetTokens(nowMillis);
        return unused <= 0
                ? 0
                : bucket.withdraw(Math.min(requested, Math.max(unused / 2, Math.min(1, unused))), nowMillis);
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
        double expectedDemand = demandPerMilli * DEMAND_HORIZON_MILLIS;
        boolean largeDemand = expectedDemand > SMALL_DEMAND_TOKENS;
        // What a borrower asks for and does not use is lost to the account.
        return waiting.size() + (withoutShare && !largeDemand ? 0 : expectedDemand) + (largeDemand ? 1 : 0);
    }

    private long retryAfterMillis(long nowMillis) {
        return bucket.millisUntilToken(nowMillis, MAX_RETRY_AFTER_MILLIS);
    }

    private void decayDemand(long nowMillis) {
        if (nowMillis > demandUpdatedMillis) {
            demandPerMilli *= Math.exp((demandUpdatedMillis - nowMillis) / DEMAND_AVERAGING_MILLIS);
            demandUpdatedMillis = nowMillis;
        }
    }

    private record WaitingOperation(AccountLimiter.AdmissionListener listener, long deadlineMillis) {}
}
