package org.hyssopswitch.pool.quota;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.limit.TokenBucket;

/** One VM's share of a client account's rate, and the operations that wait for tokens. */
final class AccountShare {

    /** Time whose expected demand is kept in tokens, milliseconds; spans several exchanges between VMs. */
    private static final double DEMAND_HORIZON_MILLIS = 500;

    /** Expected demand, in tokens, up to which none is kept for its variation: other VMs need it more. */
    private static final double SMALL_DEMAND_TOKENS = 0.5;

    /** Operations that may wait whatever the rate, so that tokens of a small account can be transferred to this VM. */
    private static final int MIN_QUEUE_CAPACITY = 2;

    /** Smallest shortfall, in tokens, that is worth a request to other VMs. */
    private static final double MIN_REQUEST_TOKENS = 0.25;

    /** Time constant of the moving average of demand, milliseconds. */
    private static final double DEMAND_AVERAGING_MILLIS = 1_000;

    /** Idle time after which a VM without a share discards its tokens, milliseconds. */
    private static final long UNUSED_TOKEN_RETENTION_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Maximum retry delay reported to a caller, milliseconds. */
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
     * Creates a share without tokens.
     *
     * @param rotationStart start of the rotation over the other VMs; should differ between VMs
     * @param nowMillis milliseconds of the monotonic clock
     */
    AccountShare(int rotationStart, long nowMillis) {
        this.rotation = rotationStart;
        this.bucket = new TokenBucket(0, 0, nowMillis);
        this.demandUpdatedMillis = nowMillis;
    }

    /**
     * Applies the declared limit.
     *
     * @param rate the limit of the whole fleet
     * @param sharingVms number of VMs that share it if this is one of them, otherwise 0
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

    /** Returns the other VMs that share the limit. */
    List<String> otherSharingVms() {
        return otherSharingVms;
    }

    /** Returns one of the other VMs that share the limit, in rotation. */
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

    /** Queues an operation, or refuses it if the fleet's rate could not admit the whole queue within the wait. */
    void enqueueOrRefuse(AccountLimiter.AdmissionListener listener, long nowMillis, long maxWaitMillis) {
        double admissible = fleetRate * maxWaitMillis / MILLIS_PER_SECOND;
        if (waiting.size() >= Math.max(MIN_QUEUE_CAPACITY, admissible)) {
            listener.refused(retryAfterMillis(nowMillis));
        } else {
            waiting.addLast(new WaitingOperation(listener, nowMillis + maxWaitMillis));
        }
    }

    /** Admits waiting operations while tokens last, and refuses those whose wait has expired. */
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

    /** Whether operations wait for tokens. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the number of tokens that are likely to be needed soon and are not available. */
    double missingTokens(long nowMillis) {
        double missing = targetTokens(nowMillis) - bucket.tokens(nowMillis);
        return missing < MIN_REQUEST_TOKENS && waiting.isEmpty() ? 0 : Math.max(0, missing);
    }

    /** Withdraws up to half of the tokens that this VM will not need soon, but at least one if there is a whole one. */
    double withdrawUnused(double requested, long nowMillis) {
        double unused = bucket.tokens(nowMillis) - targetTokens(nowMillis);
        return unused <= 0
                ? 0
                : bucket.withdraw(Math.min(requested, Math.max(unused / 2, Math.min(1, unused))), nowMillis);
    }

    void deposit(double tokens, long nowMillis) {
        // Requests exceed the shortfall, so twice as many tokens may arrive; none of them may be lost.
        double limit = Math.max(bucket.burst(), 2 * targetTokens(nowMillis) + 1);
        bucket.deposit(tokens, limit, nowMillis);
        processWaiting(nowMillis);
    }

    /** Returns the number of tokens to hold: for waiting operations, for expected demand, and one for its variation. */
    private double targetTokens(long nowMillis) {
        decayDemand(nowMillis);
        double expectedDemand = demandPerMilli * DEMAND_HORIZON_MILLIS;
        boolean largeDemand = expectedDemand > SMALL_DEMAND_TOKENS;
        // Tokens that a VM without a share requests and does not use are lost to the account.
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
