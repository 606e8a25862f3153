package org.hyssopswitch.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/**
 * The ledger of one client account at the VM that owns its slot: what the data centre may lend, what each holder may be
 * using, and a pool with what is not lent.
 *
 * <p>At all times the committed shares and the pool together are within the limit, in rate and in burst, and tokens
 * only move between them. Over any period {@code t} all VMs together therefore admit at most {@code rate * t + burst}.
 */
final class AccountLedger {

    /** Fraction of the rate that is lent; the pool serves new demand from the rest at once. */
    private static final double LENT_RATE_FRACTION = 0.85;

    /** Fraction of the burst that is lent; the pool serves new demand from the rest at once. */
    private static final double LENT_BURST_FRACTION = 0.6;

    /** Burst below which a holder's part stays in the pool. */
    private static final double MIN_LENT_BURST_TOKENS = 4;

    private static final double MIN_UNMET_TOKENS = 0.1;

    /** A share is recalled when it exceeds its target by this factor. */
    private static final double RECALL_FACTOR = 1.2;

    /** A holder is unsatisfied when its share is below this fraction of its target. */
    private static final double SATISFIED_FRACTION = 0.9;

    private static final long RECALL_INTERVAL_MILLIS = 100;

    private final ClientAccountId account;
    private final long epoch;
    private final LimitSettings settings;
    private final LongSupplier grantNumbers;
    private final Map<VmId, LentShare> shares = new HashMap<>();
    private final TokenBucket pool;
    private final long adoptUntilMillis;
    private RateShare part;
    private RateShare lendable;
    private RateShare adopted = RateShare.NONE;

    /**
     * Creates the ledger of a client account.
     *
     * @param adoptUntilMillis time until which shares granted by a former owner of the slot may be in use
     */
    AccountLedger(
            ClientAccountId account,
            long epoch,
            LimitSettings settings,
            LongSupplier grantNumbers,
            long adoptUntilMillis,
            long nowMillis) {
        this.account = account;
        this.epoch = epoch;
        this.settings = settings;
        this.grantNumbers = grantNumbers;
        this.adoptUntilMillis = adoptUntilMillis;
        this.part = RateShare.NONE;
        this.lendable = RateShare.NONE;
        this.pool = new TokenBucket(0, 0, nowMillis);
    }

    ClientAccountId account() {
        return account;
    }

    /**
     * Sets the part of this data centre. Unless {@code grow} is set, what exceeds the former part is not lent before
     * {@link #grow}.
     */
    void updatePart(RateShare next, boolean grow, long nowMillis) {
        part = next;
        lendable = grow ? next : lendable.min(next);
        adopted = adopted.min(next);
        resizePool(nowMillis);
    }

    /** Allows the whole part to be lent, once the other data centres are known to have reduced theirs. */
    void grow(long nowMillis) {
        lendable = part;
        resizePool(nowMillis);
    }

    /** Whether the whole part may be lent. */
    boolean isGrown() {
        return lendable.equals(part);
    }

    /** Whether all shares that may still be in use fit within the part. */
    boolean isSettled(long nowMillis) {
        return nowMillis >= adoptUntilMillis && committed(nowMillis).fitsWithin(part);
    }

    /** Whether nothing is lent, no holder reports demand and the pool is full, so that the ledger can be discarded. */
    boolean isIdle(long nowMillis) {
        shares.values().removeIf(s -> s.demand() <= 0 && s.committed(nowMillis).equals(RateShare.NONE));
        return shares.isEmpty() && nowMillis >= adoptUntilMillis && isGrown() && pool.tokens(nowMillis) >= pool.burst();
    }

    /** Fills the pool with the tokens that accrued while nothing was lent. */
    void accrue(long unusedMillis, long nowMillis) {
        resizePool(nowMillis);
        pool.deposit(pool.ratePerSecond() * Math.max(0, unusedMillis) / 1_000, nowMillis);
    }

    /** Removes the shares of holders that are confirmed to have ended. */
    void removeHolders(Predicate<VmAddress> gone, long nowMillis) {
        if (shares.values().removeIf(s -> gone.test(s.holder()))) {
            resizePool(nowMillis);
        }
    }

    /** Applies a holder's report and returns the share that it is granted. */
    ShareLease lend(VmAddress holder, ShareReport report, long nowMillis) {
        LentShare share = findOrCreateShare(holder);
        double before = share.committed(nowMillis).burst();
        applyReport(share, report, nowMillis);
        resizePool(nowMillis);
        // Returned tokens are covered by the burst that this report gives up; accepting more could exceed the total
        // burst.
        double freed = Math.max(0, before - share.committed(nowMillis).burst());
        pool.deposit(Math.min(report.returnedTokens(), freed), nowMillis);
        RateShare target = targetShare(share, report.wantedTokens(), nowMillis);
        if (target.rate() <= 0 && report.epoch() == epoch) {
            target = new RateShare(0, target.burst() + report.burst());
        }
        RateShare room = limit(nowMillis).minus(committed(s -> s != share, nowMillis));
        return grant(share, noneIfBelowOneToken(target.min(room)), report, nowMillis);
    }

    /**
     * Records and returns the recalls that let an unsatisfied holder have its target, or that bring all shares within a
     * lowered limit.
     */
    List<Recall> issueRecalls(long nowMillis) {
        List<Recall> recalls = new ArrayList<>();
        if (!needsRecall(nowMillis)) {
            return recalls;
        }
        for (LentShare share : shares.values()) {
            RateShare allowed = noneIfBelowOneToken(targetShare(share, 0, nowMillis));
            RateShare latest = share.latestGranted(nowMillis);
            boolean above =
                    latest.rate() > allowed.rate() * RECALL_FACTOR || latest.burst() > allowed.burst() * RECALL_FACTOR;
            if (above && nowMillis - share.lastRecallMillis() >= RECALL_INTERVAL_MILLIS) {
                recalls.add(new Recall(share.holder(), recall(share, latest.min(allowed), nowMillis)));
            }
        }
        return recalls;
    }

    private boolean needsRecall(long nowMillis) {
        if (!committed(nowMillis).fitsWithin(limit(nowMillis))) {
            return true;
        }
        return shares.values().stream().anyMatch(s -> {
            if (s.unmetTokens() > MIN_UNMET_TOKENS) {
                return true;
            }
            RateShare target = targetShare(s, 0, nowMillis);
            RateShare latest = s.latestGranted(nowMillis);
            return latest.rate() < SATISFIED_FRACTION * target.rate()
                    || latest.burst() < SATISFIED_FRACTION * target.burst();
        });
    }

    private LentShare findOrCreateShare(VmAddress holder) {
        LentShare share = shares.get(holder.vm());
        // A higher incarnation proves that the earlier one has ended, and its share with it.
        if (share == null || share.holder().incarnation() < holder.incarnation()) {
            share = new LentShare(holder);
            shares.put(holder.vm(), share);
        }
        return share;
    }

    private void applyReport(LentShare share, ShareReport report, long nowMillis) {
        RateShare held = new RateShare(report.rate(), report.burst());
        if (report.epoch() == epoch) {
            share.confirmGrant(report.appliedGrant(), held, nowMillis);
        } else if (nowMillis < adoptUntilMillis && report.epoch() > 0 && report.epoch() < epoch) {
            adopt(share, held, nowMillis);
        }
        share.setDemand(report.demand());
    }

    /** Adopts a share granted by the former owner of the slot, which can no longer change it. */
    private void adopt(LentShare share, RateShare held, long nowMillis) {
        RateShare before = share.committed(nowMillis);
        share.recordGrant(0, held, settings.minLeaseMillis(), adoptUntilMillis);
        adopted = adopted.plus(share.committed(nowMillis).minus(before)).min(part);
        lendable = lendable.max(adopted);
    }

    private ShareLease grant(LentShare share, RateShare granted, ShareReport report, long nowMillis) {
        long duration = share.nextDurationMillis(granted, settings, nowMillis);
        long grantNumber = grantNumbers.getAsLong();
        double added = Math.max(0, granted.burst() - share.committed(nowMillis).burst());
        // Tokens in flight need room that is filled by nothing else: burst added by this grant, or room reserved by
        // the holder.
        double room = Math.min(granted.burst(), added + report.reservedTokens());
        double surplus = pool.tokens(nowMillis) - Math.max(0, pool.burst() - added);
        double tokens = pool.withdraw(Math.min(room, Math.max(report.wantedTokens(), surplus)), nowMillis);
        share.recordGrant(grantNumber, granted, duration, nowMillis + settings.lenderLeaseMillis(duration));
        share.setUnmetTokens(report.wantedTokens() - tokens);
        resizePool(nowMillis);
        return new ShareLease(account, epoch, grantNumber, granted.rate(), granted.burst(), tokens, duration);
    }

    private ShareLease recall(LentShare share, RateShare amount, long nowMillis) {
        long grantNumber = grantNumbers.getAsLong();
        share.recordRecall(grantNumber, amount, nowMillis);
        return new ShareLease(account, epoch, grantNumber, amount.rate(), amount.burst(), 0, 0);
    }

    /** Returns the share that a holder should have, in proportion to its demand. */
    private RateShare targetShare(LentShare share, double wantedTokens, long nowMillis) {
        double total = shares.values().stream().mapToDouble(LentShare::demand).sum();
        if (total <= 0 || share.demand() <= 0) {
            return RateShare.NONE;
        }
        double fraction = share.demand() / total;
        RateShare limit = limit(nowMillis);
        double tokens = Math.min(wantedTokens, pool.tokens(nowMillis));
        double burst = limit.burst() * LENT_BURST_FRACTION * fraction;
        if (burst < MIN_LENT_BURST_TOKENS) {
            // A small part stays in the pool, which hands out tokens on demand.
            return new RateShare(0, tokens);
        }
        return new RateShare(limit.rate() * LENT_RATE_FRACTION * fraction, Math.max(burst, tokens));
    }

    /**
     * Returns no share in place of one with a rate but less than a whole token of burst, which is better left in the
     * pool.
     */
    private static RateShare noneIfBelowOneToken(RateShare amount) {
        return amount.rate() > 0 && amount.burst() < 1 ? RateShare.NONE : amount;
    }

    private RateShare limit(long nowMillis) {
        return nowMillis < adoptUntilMillis ? adopted : lendable;
    }

    private RateShare committed(long nowMillis) {
        return committed(s -> true, nowMillis);
    }

    private RateShare committed(Predicate<LentShare> counted, long nowMillis) {
        RateShare sum = RateShare.NONE;
        for (LentShare share : shares.values()) {
            if (counted.test(share)) {
                sum = sum.plus(share.committed(nowMillis));
            }
        }
        return sum;
    }

    private void resizePool(long nowMillis) {
        RateShare unlent = limit(nowMillis).minus(committed(nowMillis));
        pool.resize(unlent.rate(), unlent.burst(), nowMillis);
    }

    /**
     * A recall to send to a holder.
     *
     * @param holder the holder
     * @param reducedShare the share that is left to it
     */
    record Recall(VmAddress holder, ShareLease reducedShare) {}
}
