package org.hyssopswitch.core.admission;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.limit.TokenBucket;

/**
 * The part of a client account's tokens that one VM holds, and the operations of its data centre that wait for tokens,
 * for callers whose spread over the data centres differs from that of the parts.
 *
 * <p>Operations wait in the order of arrival, whichever VM they come from, and only as long as the whole rate could
 * admit them in time. Holders keep their parts level: tokens that accrue at a holder whose part is full are lost, while
 * another one refuses operations.
 */
public final class AccountTokens {

    /** Operations that may wait whatever the rate, so that tokens of a small account can be transferred to this VM. */
    private static final int MIN_QUEUE_CAPACITY = 2;

    /** Fraction of a part that must be missing before another holder is asked to level it. */
    private static final double MIN_MISSING_FRACTION = 0.25;

    /** Time for which the answer of another holder is awaited before the next one is asked, milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 15;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Maximum retry delay reported to a caller, milliseconds. */
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    private final TokenBucket bucket;
    private final Deque<WaitingOperation> waiting = new ArrayDeque<>();
    private final ReturnSchedule returns = new ReturnSchedule(MAX_RETRY_AFTER_MILLIS);
    private final Map<String, Double> unusedTokens = new HashMap<>();
    private List<String> otherHolders = List.of();
    private double fleetRate;
    private long askedUntilMillis;

    /**
     * Creates a part without tokens.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public AccountTokens(long nowMillis) {
        this.bucket = new TokenBucket(0, 0, nowMillis);
        this.askedUntilMillis = nowMillis;
    }

    /**
     * Applies the limit.
     *
     * @param fleetPerSecond rate of the whole fleet, tokens per second
     * @param fleetBurst burst of the whole fleet, tokens
     * @param others the other holders
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void resize(double fleetPerSecond, double fleetBurst, List<String> others, long nowMillis) {
        int parts = others.size() + 1;
        fleetRate = fleetPerSecond;
        otherHolders = List.copyOf(others);
        unusedTokens.keySet().retainAll(others);
        bucket.resize(fleetPerSecond / parts, Math.max(1, fleetBurst / parts), nowMillis);
    }

    /**
     * Admits an operation now, lets it wait if the fleet's rate can admit it within the wait, or refuses it.
     *
     * @param maxWaitMillis longest wait, milliseconds
     * @param listener notified of the decision, possibly before this call returns
     * @param nowMillis milliseconds of the monotonic clock
     * @return whether the operation waits
     */
    public boolean admit(long maxWaitMillis, AdmissionListener listener, long nowMillis) {
        if (waiting.isEmpty() && bucket.tryTake(nowMillis)) {
            listener.admitted(newPermit());
            return false;
        }
        double admissible = fleetRate * maxWaitMillis / MILLIS_PER_SECOND;
        if (waiting.size() >= Math.max(MIN_QUEUE_CAPACITY, admissible)) {
            listener.refused(bookReturn(nowMillis));
            return false;
        }
        waiting.addLast(new WaitingOperation(listener, nowMillis + maxWaitMillis));
        return true;
    }

    /**
     * Admits waiting operations while tokens last, and refuses those whose wait has expired.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void processWaiting(long nowMillis) {
        if (waiting.isEmpty()) {
            return;
        }
        waiting.removeIf(operation -> !operation.listener().isPending());
        // Each operation leaves the queue just before it is notified, so that a listener that fails costs no other one
        // its decision.
        while (!waiting.isEmpty() && bucket.tryTake(nowMillis)) {
            waiting.removeFirst().listener().admitted(newPermit());
        }
        for (WaitingOperation operation : List.copyOf(waiting)) {
            if (nowMillis >= operation.deadlineMillis() && waiting.remove(operation)) {
                operation.listener().refused(bookReturn(nowMillis));
            }
        }
    }

    /** Refuses all waiting operations, because this VM no longer holds a part. */
    public void refuseAll(long nowMillis) {
        List<WaitingOperation> refused = List.copyOf(waiting);
        waiting.clear();
        refused.forEach(operation -> operation.listener().refused(bookReturn(nowMillis)));
    }

    /** Whether operations wait for tokens. */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /**
     * Returns what to ask another holder for; nothing if no operation waits and most of the part is available.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public Option<TokenNeed> need(long nowMillis) {
        double tokens = bucket.tokens(nowMillis);
        double room = bucket.burst() - tokens;
        return waiting.isEmpty() && room < MIN_MISSING_FRACTION * bucket.burst()
                ? Option.none()
                : Option.some(new TokenNeed(waiting.size(), tokens, room));
    }

    /** Returns the holder that is likely to have most unused tokens; nothing if none has any or one is being asked. */
    public Option<String> richestHolder(long nowMillis) {
        if (nowMillis < askedUntilMillis) {
            return Option.none();
        }
        return Option.ofOptional(otherHolders.stream()
                .filter(vm -> unusedTokens.getOrDefault(vm, Double.MAX_VALUE) > 0)
                .max(Comparator.comparingDouble(vm -> unusedTokens.getOrDefault(vm, Double.MAX_VALUE))));
    }

    /**
     * Records that a holder was asked; others are asked only after its answer or a timeout.
     *
     * @param vm name of the holder
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void recordRequest(String vm, long nowMillis) {
        askedUntilMillis = nowMillis + ANSWER_TIMEOUT_MILLIS;
        unusedTokens.put(vm, 0.0);
    }

    /** Forgets what the other holders had, so that all of them are asked again. */
    public void forgetOthers() {
        unusedTokens.clear();
    }

    /**
     * Withdraws tokens for another holder: half of what this one has more, or what operations wait for there if that is
     * more, but none that operations wait for here.
     *
     * @param need what the other holder asks for
     * @param nowMillis milliseconds of the monotonic clock
     */
    public double withdraw(TokenNeed need, long nowMillis) {
        double free = unused(nowMillis);
        double needed = Math.max(0, need.waiting() - need.held());
        double level = Math.min(need.room(), (free - need.held()) / 2);
        return bucket.withdraw(Math.min(free, Math.max(needed, level)), nowMillis);
    }

    /**
     * Withdraws all tokens, because this VM stops.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public double withdrawAll(long nowMillis) {
        return bucket.withdraw(bucket.tokens(nowMillis), nowMillis);
    }

    /** Returns the number of tokens that no operation waits for here. */
    public double unused(long nowMillis) {
        return Math.max(0, bucket.tokens(nowMillis) - waiting.size());
    }

    /**
     * Deposits tokens of another holder.
     *
     * @param vm name of the holder
     * @param tokens number of tokens
     * @param left number of unused tokens that the holder has left
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void deposit(String vm, double tokens, double left, long nowMillis) {
        askedUntilMillis = nowMillis;
        unusedTokens.put(vm, left);
        // A holder that stops hands over its whole part and fills it again after its restart: what exceeds this part's
        // burst would then be there twice.
        bucket.deposit(tokens, Math.max(bucket.burst(), waiting.size()), nowMillis);
        processWaiting(nowMillis);
    }

    /**
     * Takes back tokens of operations of which nothing was sent to an endpoint. They were taken from a part of this
     * account before, so the account stays within its limit whichever holder gets them.
     *
     * @param tokens number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void giveBack(double tokens, long nowMillis) {
        bucket.deposit(tokens, nowMillis);
    }

    private AdmissionPermit newPermit() {
        return new SingleUsePermit(nowMillis -> giveBack(1, nowMillis));
    }

    private long bookReturn(long nowMillis) {
        return returns.book(
                bucket.ratePerSecond(), bucket.millisUntilToken(nowMillis, MAX_RETRY_AFTER_MILLIS), nowMillis);
    }

    private record WaitingOperation(AdmissionListener listener, long deadlineMillis) {}
}
