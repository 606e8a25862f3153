package org.hyssopswitch.pool.testing;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.failover.PromotionAuthority;

/**
 * The commits of a group with one synchronous replica in virtual time, and the platform that promotes its endpoints. The
 * primary commits all the time; a commit is acknowledged once a replica has received it.
 */
public final class FakeReplication implements PromotionAuthority {

    private static final long COMMIT_PERIOD_MILLIS = 5;
    private static final long ANSWER_MILLIS = 5;
    private static final long EFFECT_MILLIS = 400;
    private static final int MAX_RECEIVE_MILLIS = 60;
    private static final int MAX_LATE_MILLIS = 12_000;

    private final ManualLoop loop;
    private final List<FakeEndpoint> endpoints;
    private final Random random;
    private final Listener listener;
    private final Set<FakeEndpoint> deaf = new HashSet<>();
    private final Set<FakeEndpoint> crashed = new HashSet<>();
    private final List<String> lost = new ArrayList<>();
    private final List<String> toldAndLost = new ArrayList<>();
    private final Map<Long, Long> lastOffsetsOfTerms = new HashMap<>();
    private LogPosition told = LogPosition.ZERO;
    private final List<String> pendingTargets = new ArrayList<>();
    private long lastToldMillis;
    private long longestToldGapMillis;
    private final List<Order> orders = new ArrayList<>();
    private LogPosition acknowledged = new LogPosition(1, 0);
    private long lastAcknowledgedMillis;
    private long longestGapMillis;
    private long term = 1;
    private long highestToken;
    private Outcome outcome = Outcome.ANSWERED;

    /** Starts to commit; the first endpoint leads. */
    public FakeReplication(ManualLoop loop, List<FakeEndpoint> endpoints, Random random, Listener listener) {
        this.loop = loop;
        this.endpoints = new ArrayList<>(endpoints);
        this.random = random;
        this.listener = listener;
        this.lastAcknowledgedMillis = loop.nowMillis();
        this.lastToldMillis = loop.nowMillis();
        commit();
    }

    /** Adds a replica that starts now. */
    public void join(FakeEndpoint endpoint) {
        endpoints.add(endpoint);
        copyLog(endpoint);
    }

    /**
     * A replica ends and starts again at once, with nothing but what it can copy from the primary. Not one whose promotion
     * was ordered, as that would be the loss of both servers which have a commit.
     */
    public void startAfresh(FakeEndpoint endpoint) {
        if (!endpoint.isPrimary() && !crashed.contains(endpoint) && !pendingTargets.contains(endpoint.id())) {
            endpoint.startAfresh();
            copyLog(endpoint);
        }
    }

    /** Callers were told of a commit. */
    public void tell(LogPosition commit) {
        if (commit.term() < term && commit.offset() > lastOffsetsOfTerms.getOrDefault(commit.term(), 0L)) {
            toldAndLost.add(commit + " told in term " + term);
        }
        told = told.max(commit);
        longestToldGapMillis = Math.max(longestToldGapMillis, loop.nowMillis() - lastToldMillis);
        lastToldMillis = loop.nowMillis();
    }

    /** Returns the promotions of endpoints that lacked a commit of which callers were told. */
    public List<String> toldAndLost() {
        return List.copyOf(toldAndLost);
    }

    /** Returns the longest time without a commit of which callers were told since the last call, milliseconds. */
    public long takeLongestToldGapMillis() {
        long longest = Math.max(longestToldGapMillis, loop.nowMillis() - lastToldMillis);
        longestToldGapMillis = 0;
        lastToldMillis = loop.nowMillis();
        return longest;
    }

    /** Returns the promotions of endpoints that lacked an acknowledged commit. */
    public List<String> lost() {
        return List.copyOf(lost);
    }

    /** Returns the orders that reached the platform. */
    public List<Order> orders() {
        return List.copyOf(orders);
    }

    /** Returns the longest time without an acknowledged commit since the last call, milliseconds. */
    public long takeLongestGapMillis() {
        long longest = Math.max(longestGapMillis, loop.nowMillis() - lastAcknowledgedMillis);
        longestGapMillis = 0;
        lastAcknowledgedMillis = loop.nowMillis();
        return longest;
    }

    /** Sets what becomes of the orders from now on. */
    public void setOutcome(Outcome next) {
        outcome = next;
    }

    /** Makes an endpoint receive nothing, or again everything. */
    public void setDeaf(FakeEndpoint endpoint, boolean isDeaf) {
        if (isDeaf) {
            deaf.add(endpoint);
        } else {
            deaf.remove(endpoint);
        }
    }

    /** Crashes an endpoint. */
    public void crash(FakeEndpoint endpoint) {
        crashed.add(endpoint);
        endpoint.crash();
    }

    /** Starts a crashed endpoint with its log, as a replica if another one was promoted. */
    public void restart(FakeEndpoint endpoint) {
        if (crashed.remove(endpoint)) {
            endpoint.endPause();
            endpoint.restart();
        }
    }

    /** Returns the endpoint that leads. */
    public Option<FakeEndpoint> primary() {
        return Option.ofOptional(
                endpoints.stream().filter(FakeEndpoint::isPrimary).findFirst());
    }

    @Override
    public void promote(Order order, Consumer<Answer> done) {
        orders.add(order);
        if (outcome == Outcome.UNAVAILABLE) {
            loop.schedule(ANSWER_MILLIS, () -> done.accept(Answer.UNKNOWN));
        } else if (outcome == Outcome.LATE) {
            pendingTargets.add(order.endpoint());
            loop.schedule(random.nextInt(MAX_LATE_MILLIS), () -> {
                pendingTargets.remove(order.endpoint());
                execute(order);
            });
            loop.schedule(ANSWER_MILLIS, () -> done.accept(Answer.UNKNOWN));
        } else {
            loop.schedule(ANSWER_MILLIS, () -> done.accept(execute(order) ? Answer.ACCEPTED : Answer.REJECTED));
        }
    }

    private boolean execute(Order order) {
        Option<FakeEndpoint> target = Option.ofOptional(endpoints.stream()
                .filter(one -> one.id().equals(order.endpoint()) && !crashed.contains(one))
                .findFirst());
        if (order.token() < highestToken || target.isEmpty()) {
            return false;
        }
        highestToken = order.token();
        if (!target.get().isPrimary()) {
            pendingTargets.add(order.endpoint());
            loop.schedule(EFFECT_MILLIS, () -> {
                pendingTargets.remove(order.endpoint());
                lead(target.get());
            });
        }
        return true;
    }

    private void lead(FakeEndpoint target) {
        if (target.isPrimary() || crashed.contains(target)) {
            return;
        }
        if (target.position().compareTo(acknowledged) < 0) {
            lost.add(target.id() + " at " + target.position() + " lacks " + acknowledged);
        }
        if (target.position().compareTo(told) < 0) {
            toldAndLost.add(target.id() + " at " + target.position() + " lacks " + told);
        }
        lastOffsetsOfTerms.put(
                term, target.position().term() == term ? target.position().offset() : 0L);
        term++;
        acknowledged = new LogPosition(term, target.position().offset());
        LogPosition start = acknowledged;
        for (FakeEndpoint one : endpoints) {
            one.setPrimary(one == target);
            if (!crashed.contains(one)) {
                one.setPosition(start);
                one.endPause();
            }
        }
        listener.promoted(target);
    }

    private void commit() {
        primary().filter(one -> !crashed.contains(one)).forEach(source -> {
            LogPosition written = new LogPosition(term, source.position().offset() + 1);
            source.setPosition(written);
            endpoints.stream()
                    .filter(one -> one != source)
                    .forEach(one ->
                            loop.schedule(1 + random.nextInt(MAX_RECEIVE_MILLIS), () -> receive(source, one, written)));
        });
        loop.schedule(COMMIT_PERIOD_MILLIS, this::commit);
    }

    private void receive(FakeEndpoint source, FakeEndpoint replica, LogPosition written) {
        if (written.term() != term || deaf.contains(replica) || crashed.contains(replica) || replica.isPaused()) {
            return;
        }
        replica.setPosition(replica.position().max(written));
        if (source.isPrimary() && !crashed.contains(source) && written.compareTo(acknowledged) > 0) {
            acknowledged = written;
            longestGapMillis = Math.max(longestGapMillis, loop.nowMillis() - lastAcknowledgedMillis);
            lastAcknowledgedMillis = loop.nowMillis();
            listener.acknowledged(written);
        }
    }

    private void copyLog(FakeEndpoint endpoint) {
        primary()
                .filter(one -> !crashed.contains(one) && !deaf.contains(endpoint))
                .forEach(source -> endpoint.setPosition(source.position()));
    }

    /** What becomes of an order. */
    public enum Outcome {
        /** It is carried out and answered. */
        ANSWERED,
        /** It is not answered and carried out later, if its token is still accepted then. */
        LATE,
        /** It is not carried out. */
        UNAVAILABLE
    }

    /** Is told of promotions and of commits that the primary acknowledges. */
    @FunctionalInterface
    public interface Listener {

        /** The primary has acknowledged a commit. */
        default void acknowledged(LogPosition commit) {}

        /** An endpoint has become the primary. */
        void promoted(FakeEndpoint endpoint);
    }
}
