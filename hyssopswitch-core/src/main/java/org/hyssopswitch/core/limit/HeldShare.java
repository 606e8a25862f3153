package org.hyssopswitch.core.limit;

import java.util.Optional;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.VmAddress;

/** The share of one client account that this VM holds from one data centre. */
final class HeldShare {

    /** Age of a request, in milliseconds, beyond which its answer is ignored. */
    static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    /** Renewals are aligned to a quarter of the lease, so that those to one lender go out in one message. */
    private static final long RENEWAL_STEPS_PER_LEASE = 4;

    private static final double MIN_RELEASED_TOKENS = 0.5;

    private final TokenBucket bucket;
    private Optional<VmAddress> lender = Optional.empty();
    private long epoch;
    private long appliedGrant;
    private long leaseEndMillis;
    private long nextRenewalMillis;
    private long lastRequestMillis = Long.MIN_VALUE / 2;
    private long lastReservationMillis = Long.MIN_VALUE / 2;
    private int unansweredRequests;
    private double returnableTokens;

    HeldShare(long nowMillis) {
        bucket = new TokenBucket(0, 0, nowMillis);
    }

    /** Takes up to the wanted number of tokens, none once the lease has expired. */
    double withdraw(double wanted, long nowMillis) {
        return isValid(nowMillis) ? bucket.withdraw(wanted, nowMillis) : 0;
    }

    /** Takes one token if there is one and the lease has not expired. */
    boolean tryTake(long nowMillis) {
        return isValid(nowMillis) && bucket.tryTake(nowMillis);
    }

    boolean isValid(long nowMillis) {
        return nowMillis < leaseEndMillis && bucket.burst() > 0;
    }

    /** Whether tokens that were granted without a rate have been used, so that their burst can be given back. */
    boolean isExhausted(long nowMillis) {
        return bucket.ratePerSecond() <= 0 && bucket.burst() - bucket.tokens(nowMillis) >= MIN_RELEASED_TOKENS;
    }

    /** Returns the rate and burst that this VM may use now, {@link RateShare#NONE} once the lease has expired. */
    RateShare currentShare(long nowMillis) {
        return nowMillis < leaseEndMillis ? new RateShare(bucket.ratePerSecond(), bucket.burst()) : RateShare.NONE;
    }

    double rate(long nowMillis) {
        return isValid(nowMillis) ? bucket.ratePerSecond() : 0;
    }

    double tokens(long nowMillis) {
        return isValid(nowMillis) ? bucket.tokens(nowMillis) : 0;
    }

    long millisUntilToken(long nowMillis, long maxMillis) {
        return isValid(nowMillis) ? bucket.millisUntilToken(nowMillis, maxMillis) : maxMillis;
    }

    boolean isRenewalDue(long nowMillis) {
        return nowMillis >= nextRenewalMillis;
    }

    /** Returns the milliseconds since the last request to the lender. */
    long millisSinceRequest(long nowMillis) {
        return nowMillis - lastRequestMillis;
    }

    /** Returns the number of requests since the lender's last answer. */
    int unansweredRequests() {
        return unansweredRequests;
    }

    boolean hasGrant() {
        return appliedGrant > 0;
    }

    /**
     * Prepares a report to a lender. From then on only this lender can change the share, so that a new owner of the
     * slot can adopt the share as reported.
     */
    ShareReport prepareReport(ClientAccountId account, VmAddress to, Demand demand, long nowMillis) {
        lender = Optional.of(to);
        lastRequestMillis = nowMillis;
        clearIfExpired(nowMillis);
        bucket.releaseUsedBurst(nowMillis);
        double reserved = reserve(demand.missingTokens(), nowMillis);
        unansweredRequests++;
        double returned = returnableTokens;
        returnableTokens = 0;
        return new ShareReport(
                account,
                epoch,
                appliedGrant,
                bucket.ratePerSecond(),
                bucket.burst(),
                reserved,
                returned,
                demand.perSecond(),
                demand.missingTokens());
    }

    /**
     * Applies a grant that answers a request; an outdated grant or one from another VM than the lender last reported to
     * is ignored.
     */
    boolean applyGrant(VmAddress from, ShareLease lease, long requestMillis, long nowMillis) {
        if (!accepts(from, lease)) {
            return false;
        }
        clearIfExpired(nowMillis);
        bucket.endReservation(nowMillis);
        lastReservationMillis = Long.MIN_VALUE / 2;
        unansweredRequests = 0;
        resize(lease, nowMillis);
        bucket.deposit(lease.tokens(), nowMillis);
        leaseEndMillis = requestMillis + lease.durationMillis();
        long stepMillis = Math.max(1, lease.durationMillis() / RENEWAL_STEPS_PER_LEASE);
        nextRenewalMillis = (requestMillis + lease.durationMillis() / 2) / stepMillis * stepMillis;
        return true;
    }

    /** Lowers the share to what the recall leaves; the end of its lease is unchanged. */
    boolean applyRecall(VmAddress from, ShareLease reduced, long nowMillis) {
        if (epoch != reduced.epoch() || !accepts(from, reduced)) {
            return false;
        }
        clearIfExpired(nowMillis);
        resize(reduced, nowMillis);
        return true;
    }

    /** Gives up the whole share; its tokens are returned with the next report. */
    void surrender(long nowMillis) {
        returnableTokens += bucket.tokens(nowMillis);
        bucket.resize(0, 0, nowMillis);
    }

    /** Reserves room for tokens in the bucket, unless the answer to an earlier reservation may still arrive. */
    private double reserve(double tokens, long nowMillis) {
        if (nowMillis - lastReservationMillis <= ANSWER_TIMEOUT_MILLIS) {
            return 0;
        }
        lastReservationMillis = nowMillis;
        return bucket.reserve(tokens, nowMillis);
    }

    /**
     * Empties a share whose lease has expired: the lender may already have lent its rate and its tokens to another
     * holder.
     */
    private void clearIfExpired(long nowMillis) {
        if (nowMillis >= leaseEndMillis) {
            bucket.resize(0, 0, nowMillis);
            returnableTokens = 0;
        }
    }

    private boolean accepts(VmAddress from, ShareLease lease) {
        boolean newer = lease.epoch() > epoch || (lease.epoch() == epoch && lease.grant() > appliedGrant);
        return newer && lender.filter(from::equals).isPresent();
    }

    private void resize(ShareLease lease, long nowMillis) {
        double before = bucket.tokens(nowMillis);
        bucket.resize(lease.rate(), lease.burst(), nowMillis);
        returnableTokens = Math.max(0, before - bucket.tokens(nowMillis));
        epoch = lease.epoch();
        appliedGrant = lease.grant();
    }

    /**
     * The demand of the holder that a report states.
     *
     * @param perSecond statements that arrive per second
     * @param missingTokens tokens needed now beyond those available
     */
    record Demand(double perSecond, double missingTokens) {}
}
