package org.hyssopswitch.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * What a lender knows of the share of one holder: its demand, and every grant that the holder may still be using.
 *
 * <p>A grant counts until the holder confirms a later one or until the lease has ended by the lender's own clock.
 */
final class LentShare {

    private static final int MAX_OUTSTANDING = 6;

    private final VmAddress holder;
    private final Deque<Outstanding> outstanding = new ArrayDeque<>();
    private double demand;
    private double unmet;
    private long durationMillis;
    private long recalledMillis = Long.MIN_VALUE / 2;

    LentShare(VmAddress holder) {
        this.holder = holder;
    }

    VmAddress holder() {
        return holder;
    }

    /** Tokens that the holder wanted and did not get. */
    double unmetTokens() {
        return unmet;
    }

    void setUnmetTokens(double tokens) {
        unmet = tokens;
    }

    double demand() {
        return demand;
    }

    void setDemand(double statementsPerSecond) {
        demand = statementsPerSecond;
    }

    long lastRecallMillis() {
        return recalledMillis;
    }

    /** The most that the holder may be using. */
    RateShare committed(long nowMillis) {
        outstanding.removeIf(o -> o.endMillis() <= nowMillis);
        RateShare most = RateShare.NONE;
        for (Outstanding one : outstanding) {
            most = most.max(one.amount());
        }
        return most;
    }

    /** The amount of the latest grant. */
    RateShare latestGranted(long nowMillis) {
        outstanding.removeIf(o -> o.endMillis() <= nowMillis);
        return outstanding.isEmpty() ? RateShare.NONE : outstanding.peekLast().amount();
    }

    /** Records what the holder held when it had applied a grant; earlier grants will not be used any more. */
    void confirmGrant(long appliedGrant, RateShare held, long nowMillis) {
        long end = nowMillis;
        while (!outstanding.isEmpty() && outstanding.peekFirst().grant() <= appliedGrant) {
            end = Math.max(end, outstanding.removeFirst().endMillis());
        }
        if (end > nowMillis) {
            outstanding.addFirst(new Outstanding(appliedGrant, held, end));
        }
    }

    /** Records a grant before it is sent. */
    void recordGrant(long grant, RateShare amount, long duration, long endMillis) {
        durationMillis = duration;
        add(new Outstanding(grant, amount, endMillis));
    }

    /** Records a recall before it is sent; the lease ends no later than before. */
    void recordRecall(long grant, RateShare amount, long nowMillis) {
        long end = outstanding.stream().mapToLong(Outstanding::endMillis).max().orElse(nowMillis);
        durationMillis = 0;
        recalledMillis = nowMillis;
        add(new Outstanding(grant, amount, end));
    }

    /** The duration of the next lease, which doubles while the size stays about the same. */
    long nextDurationMillis(RateShare next, LimitSettings settings, long nowMillis) {
        RateShare last = latestGranted(nowMillis);
        boolean stable = Math.abs(next.rate() - last.rate()) <= 0.25 * last.rate();
        long doubled = Math.min(settings.maxLeaseMillis(), 2 * durationMillis);
        return stable ? Math.max(settings.minLeaseMillis(), doubled) : settings.minLeaseMillis();
    }

    private void add(Outstanding next) {
        if (outstanding.size() >= MAX_OUTSTANDING) {
            Outstanding first = outstanding.removeFirst();
            Outstanding second = outstanding.removeFirst();
            outstanding.addFirst(first.merge(second));
        }
        outstanding.addLast(next);
    }

    private record Outstanding(long grant, RateShare amount, long endMillis) {

        Outstanding merge(Outstanding later) {
            return new Outstanding(later.grant, amount.max(later.amount), Math.max(endMillis, later.endMillis));
        }
    }
}
