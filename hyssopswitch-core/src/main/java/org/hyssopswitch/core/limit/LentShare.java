package org.hyssopswitch.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * The lender's view of the share of one holder: its demand, and every grant that the holder may still be using.
 *
 * <p>A grant counts until the holder confirms a later one or until the lease has expired by the lender's own clock.
 */
final class LentShare {

    private static final int MAX_OUTSTANDING_GRANTS = 6;

    private final VmAddress holder;
    private final Deque<OutstandingGrant> outstanding = new ArrayDeque<>();
    private double demand;
    private double unmetTokens;
    private long lastDurationMillis;
    private long lastRecallMillis = Long.MIN_VALUE / 2;

    LentShare(VmAddress holder) {
        this.holder = holder;
    }

    VmAddress holder() {
        return holder;
    }

    /** Returns the number of tokens that the holder requested and did not get. */
    double unmetTokens() {
        return unmetTokens;
    }

    void setUnmetTokens(double tokens) {
        unmetTokens = tokens;
    }

    double demand() {
        return demand;
    }

    void setDemand(double statementsPerSecond) {
        demand = statementsPerSecond;
    }

    long lastRecallMillis() {
        return lastRecallMillis;
    }

    /** Returns the largest rate and the largest burst that the holder may be using. */
    RateShare committed(long nowMillis) {
        outstanding.removeIf(o -> o.endMillis() <= nowMillis);
        RateShare largest = RateShare.NONE;
        for (OutstandingGrant grant : outstanding) {
            largest = largest.max(grant.share());
        }
        return largest;
    }

    /** Returns the share of the latest grant, {@link RateShare#NONE} when no grant is outstanding. */
    RateShare latestGranted(long nowMillis) {
        outstanding.removeIf(o -> o.endMillis() <= nowMillis);
        return outstanding.isEmpty() ? RateShare.NONE : outstanding.peekLast().share();
    }

    /**
     * Records the share that the holder reports as of a grant that it has applied; it will not use earlier grants any
     * more.
     */
    void confirmGrant(long appliedGrant, RateShare held, long nowMillis) {
        long end = nowMillis;
        while (!outstanding.isEmpty() && outstanding.peekFirst().grantNumber() <= appliedGrant) {
            end = Math.max(end, outstanding.removeFirst().endMillis());
        }
        if (end > nowMillis) {
            outstanding.addFirst(new OutstandingGrant(appliedGrant, held, end));
        }
    }

    /** Records a grant; must be called before the grant is sent. */
    void recordGrant(long grantNumber, RateShare share, long leaseMillis, long endMillis) {
        lastDurationMillis = leaseMillis;
        add(new OutstandingGrant(grantNumber, share, endMillis));
    }

    /** Records a recall; must be called before the recall is sent. The lease does not end earlier than before. */
    void recordRecall(long grantNumber, RateShare share, long nowMillis) {
        long end = outstanding.stream()
                .mapToLong(OutstandingGrant::endMillis)
                .max()
                .orElse(nowMillis);
        lastDurationMillis = 0;
        lastRecallMillis = nowMillis;
        add(new OutstandingGrant(grantNumber, share, end));
    }

    /** Returns the duration of the next lease, which doubles while the rate changes by at most a quarter. */
    long nextDurationMillis(RateShare next, LimitSettings settings, long nowMillis) {
        RateShare last = latestGranted(nowMillis);
        boolean stable = Math.abs(next.rate() - last.rate()) <= 0.25 * last.rate();
        long doubled = Math.min(settings.maxLeaseMillis(), 2 * lastDurationMillis);
        return stable ? Math.max(settings.minLeaseMillis(), doubled) : settings.minLeaseMillis();
    }

    private void add(OutstandingGrant next) {
        if (outstanding.size() >= MAX_OUTSTANDING_GRANTS) {
            OutstandingGrant first = outstanding.removeFirst();
            OutstandingGrant second = outstanding.removeFirst();
            outstanding.addFirst(first.merge(second));
        }
        outstanding.addLast(next);
    }

    private record OutstandingGrant(long grantNumber, RateShare share, long endMillis) {

        OutstandingGrant merge(OutstandingGrant later) {
            return new OutstandingGrant(
                    later.grantNumber, share.max(later.share), Math.max(endMillis, later.endMillis));
        }
    }
}
