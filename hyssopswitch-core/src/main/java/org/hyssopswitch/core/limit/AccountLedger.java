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
 * The ledger of one client account at the owner of its slot: what the data centre may lend, what each holder may be
 * using, and the pool of what is not lent.
 *
 * <p>At all times the committed shares and the pool together are within the limit, in rate and in burst, and tokens
 * only move between them. So over any time {@code t}, all VMs together admit at most {@code rate * t + burst}.
 */
final class AccountLedger {

    private static final double LENT_RATE = 0.85;
    private static final double LENT_BURST = 0.6;
    private static final double MIN_LENT_BURST = 4;
    private static final double MIN_UNMET = 0.1;
    private static final double RECALL_ABOVE = 1.2;
    private static final double SATISFIED_ABOVE = 0.9;
    private static final long RECALL_INTERVAL_MILLIS = 100;

    private final ClientAccountId account;
    private final long epoch;
    private final LimitSettings settings;
    private final LongSupplier grantNumbers;
    private final Map<VmId, LentShare> loans = new HashMap<>();
    private final TokenBucket pool;
    private final long adoptUntilMillis;
    private RateShare part;
    private RateShare base;
    private RateShare adopted = RateShare.NONE;

    /**
     * Creates the ledger of a client account.
     *
     * @param adoptUntilMillis until when shares granted by an earlier owner may be in use
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
        this.base = RateShare.NONE;
        this.pool = new TokenBucket(0, 0, nowMillis);
    }

    ClientAccountId account() {
        return account;
    }

    /** Sets the part of this data centre; what exceeds the former part is not lent before {@link #grow}. */
    void updatePart(RateShare next, boolean grow, long nowMillis) {
        part = next;
        base = grow ? next : base.min(next);
        adopted = adopted.min(next);
        resizePool(nowMillis);
    }

    /** Allows the whole part to be lent, after the other data centres are known to have shrunk. */
    void grow(long nowMillis) {
        base = part;
        resizePool(nowMillis);
    }

    /** Whether the whole part may be lent. */
    boolean isGrown() {
        return base.equals(part);
    }

    /** Whether all shares that may be in use are within the part. */
    boolean isSettled(long nowMillis) {
        return nowMillis >= adoptUntilMillis && committed(nowMillis).fitsWithin(part);
    }

    /** Whether nothing is lent and nobody asks, so that the ledger may be forgotten once its pool is full. */
    boolean isIdle(long nowMillis) {
        loans.values().removeIf(l -> l.demand() <= 0 && l.committed(nowMillis).equals(RateShare.NONE));
        return loans.isEmpty() && nowMillis >= adoptUntilMillis && isGrown() && pool.tokens(nowMillis) >= pool.burst();
    }

    /** Fills the pool with what has accrued in a time in which nothing was lent. */
    void accrue(long unusedMillis, long nowMillis) {
        resizePool(nowMillis);
        pool.deposit(pool.ratePerSecond() * Math.max(0, unusedMillis) / 1_000, nowMillis);
    }

    /** Drops the shares of holders that have ended. */
    void removeHolders(Predicate<VmAddress> gone, long nowMillis) {
        if (loans.values().removeIf(l -> gone.test(l.holder()))) {
            resizePool(nowMillis);
        }
    }

    /** Handles a holder's report and returns the share that it is granted. */
    ShareLease lend(VmAddress holder, ShareReport report, long nowMillis) {
        LentShare loan = findOrCreateShare(holder);
        double before = loan.committed(nowMillis).burst();
        applyReport(loan, report, nowMillis);
        resizePool(nowMillis);
        // Returned tokens were covered by the burst that this report gives up; more could exceed the burst as a whole.
        double freed = Math.max(0, before - loan.committed(nowMillis).burst());
        pool.deposit(Math.min(report.returnedTokens(), freed), nowMillis);
        RateShare target = targetShare(loan, report.wantedTokens(), nowMillis);
        if (target.rate() <= 0 && report.epoch() == epoch) {
            target = new RateShare(0, target.burst() + report.burst());
        }
        RateShare room = limit(nowMillis).minus(committed(l -> l != loan, nowMillis));
        return grant(loan, noneIfBelowOneToken(target.min(room)), report, nowMillis);
    }

    /** The recalls that let an unsatisfied holder have its target, or that bring all shares within a smaller limit. */
    List<Recall> issueRecalls(long nowMillis) {
        List<Recall> recalls = new ArrayList<>();
        if (!needsRecall(nowMillis)) {
            return recalls;
        }
        for (LentShare loan : loans.values()) {
            RateShare most = noneIfBelowOneToken(targetShare(loan, 0, nowMillis));
            RateShare latest = loan.latestGranted(nowMillis);
            boolean above = latest.rate() > most.rate() * RECALL_ABOVE || latest.burst() > most.burst() * RECALL_ABOVE;
            if (above && nowMillis - loan.lastRecallMillis() >= RECALL_INTERVAL_MILLIS) {
                recalls.add(new Recall(loan.holder(), recall(loan, latest.min(most), nowMillis)));
            }
        }
        return recalls;
    }

    private boolean needsRecall(long nowMillis) {
        if (!committed(nowMillis).fitsWithin(limit(nowMillis))) {
            return true;
        }
        return loans.values().stream().anyMatch(l -> {
            if (l.unmetTokens() > MIN_UNMET) {
                return true;
            }
            RateShare target = targetShare(l, 0, nowMillis);
            RateShare latest = l.latestGranted(nowMillis);
            return latest.rate() < SATISFIED_ABOVE * target.rate() || latest.burst() < SATISFIED_ABOVE * target.burst();
        });
    }

    private LentShare findOrCreateShare(VmAddress holder) {
        LentShare loan = loans.get(holder.vm());
        // A higher incarnation proves that the earlier one has ended and with it its share.
        if (loan == null || loan.holder().incarnation() < holder.incarnation()) {
            loan = new LentShare(holder);
            loans.put(holder.vm(), loan);
        }
        return loan;
    }

    private void applyReport(LentShare loan, ShareReport report, long nowMillis) {
        RateShare held = new RateShare(report.rate(), report.burst());
        if (report.epoch() == epoch) {
            loan.confirmGrant(report.appliedGrant(), held, nowMillis);
        } else if (nowMillis < adoptUntilMillis && report.epoch() > 0 && report.epoch() < epoch) {
            adopt(loan, held, nowMillis);
        }
        loan.setDemand(report.demand());
    }

    /** Takes over a share granted by the former owner, which cannot change it any more. */
    private void adopt(LentShare loan, RateShare held, long nowMillis) {
        RateShare before = loan.committed(nowMillis);
        loan.recordGrant(0, held, settings.minLeaseMillis(), adoptUntilMillis);
        adopted = adopted.plus(loan.committed(nowMillis).minus(before)).min(part);
        base = base.max(adopted);
    }

    private ShareLease grant(LentShare loan, RateShare granted, ShareReport report, long nowMillis) {
        long duration = loan.nextDurationMillis(granted, settings, nowMillis);
        long number = grantNumbers.getAsLong();
        double added = Math.max(0, granted.burst() - loan.committed(nowMillis).burst());
        // Tokens on their way need room that nobody else fills: burst added by this grant, or reserved by the holder.
        double room = Math.min(granted.burst(), added + report.reservedTokens());
        double surplus = pool.tokens(nowMillis) - Math.max(0, pool.burst() - added);
        double tokens = pool.withdraw(Math.min(room, Math.max(report.wantedTokens(), surplus)), nowMillis);
        loan.recordGrant(number, granted, duration, nowMillis + settings.lenderMillis(duration));
        loan.setUnmetTokens(report.wantedTokens() - tokens);
        resizePool(nowMillis);
        return new ShareLease(account, epoch, number, granted.rate(), granted.burst(), tokens, duration);
    }

    private ShareLease recall(LentShare loan, RateShare amount, long nowMillis) {
        long number = grantNumbers.getAsLong();
        loan.recordRecall(number, amount, nowMillis);
        return new ShareLease(account, epoch, number, amount.rate(), amount.burst(), 0, 0);
    }

    /** The share that a holder should have by its part of the demand. */
    private RateShare targetShare(LentShare loan, double wantedTokens, long nowMillis) {
        double total = loans.values().stream().mapToDouble(LentShare::demand).sum();
        if (total <= 0 || loan.demand() <= 0) {
            return RateShare.NONE;
        }
        double fraction = loan.demand() / total;
        RateShare limit = limit(nowMillis);
        double tokens = Math.min(wantedTokens, pool.tokens(nowMillis));
        double burst = limit.burst() * LENT_BURST * fraction;
        if (burst < MIN_LENT_BURST) {
            // Small parts stay in the pool, which hands out tokens as they are needed.
            return new RateShare(0, tokens);
        }
        return new RateShare(limit.rate() * LENT_RATE * fraction, Math.max(burst, tokens));
    }

    /** A share with a rate but without a whole token of burst is better left in the pool. */
    private static RateShare noneIfBelowOneToken(RateShare amount) {
        return amount.rate() > 0 && amount.burst() < 1 ? RateShare.NONE : amount;
    }

    private RateShare limit(long nowMillis) {
        return nowMillis < adoptUntilMillis ? adopted : base;
    }

    private RateShare committed(long nowMillis) {
        return committed(l -> true, nowMillis);
    }

    private RateShare committed(Predicate<LentShare> counted, long nowMillis) {
        RateShare sum = RateShare.NONE;
        for (LentShare loan : loans.values()) {
            if (counted.test(loan)) {
                sum = sum.plus(loan.committed(nowMillis));
            }
        }
        return sum;
    }

    private void resizePool(long nowMillis) {
        RateShare rest = limit(nowMillis).minus(committed(nowMillis));
        pool.resize(rest.rate(), rest.burst(), nowMillis);
    }

    /**
     * A recall to send.
     *
     * @param holder the holder
     * @param cut the lowered share
     */
    record Recall(VmAddress holder, ShareLease cut) {}
}
