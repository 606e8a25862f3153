package org.hyssopswitch.core.limit;

import java.util.Map;
import java.util.TreeMap;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;

/**
 * The use of one client account by the callers of this VM: its demand, its shortages of tokens, and the shares held
 * from each lending data centre.
 */
final class AccountUsage {

    /** Maximum time between two shortages of one period. */
    private static final long MAX_SHORTAGE_GAP_MILLIS = 100;

    private final ClientAccountId account;
    private final DemandMeter meter;
    private final Map<DataCentreId, HeldShare> shares = new TreeMap<>();
    private long lastUsedMillis;
    private int shortageCount;
    private long lastShortageMillis = Long.MIN_VALUE / 2;
    private long shortageStartMillis;
    private long lastRefusalMillis = Long.MIN_VALUE / 2;

    AccountUsage(ClientAccountId account, long nowMillis) {
        this.account = account;
        this.meter = new DemandMeter(nowMillis);
        this.lastUsedMillis = nowMillis;
    }

    ClientAccountId account() {
        return account;
    }

    Map<DataCentreId, HeldShare> shares() {
        return shares;
    }

    HeldShare findOrCreateShare(DataCentreId lender, long nowMillis) {
        return shares.computeIfAbsent(lender, l -> new HeldShare(nowMillis));
    }

    boolean tryTake(long nowMillis) {
        for (HeldShare share : shares.values()) {
            if (share.tryTake(nowMillis)) {
                return true;
            }
        }
        return tryTakeFractions(nowMillis);
    }

    boolean isExhausted(long nowMillis) {
        for (HeldShare share : shares.values()) {
            if (share.isExhausted(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Records the arrival of a statement. */
    void recordArrival(long nowMillis) {
        lastUsedMillis = nowMillis;
        meter.count(nowMillis);
    }

    /** Records that a statement was refused. */
    void recordRefusal(long nowMillis) {
        lastRefusalMillis = nowMillis;
    }

    long millisSinceRefusal(long nowMillis) {
        return nowMillis - lastRefusalMillis;
    }

    /** Records that a statement found no token. Shortages that are close together count as one period. */
    void recordShortage(long nowMillis) {
        if (nowMillis - lastShortageMillis > MAX_SHORTAGE_GAP_MILLIS) {
            shortageStartMillis = nowMillis;
        }
        lastUsedMillis = nowMillis;
        lastShortageMillis = nowMillis;
        shortageCount++;
    }

    /** Returns the time since the start of the latest period of shortage, in milliseconds. */
    long shortageDurationMillis(long nowMillis) {
        return nowMillis - shortageStartMillis;
    }

    /** Returns the number of times that a statement found no token since the last request to a lender. */
    int shortageCount() {
        return shortageCount;
    }

    void clearShortageCount() {
        shortageCount = 0;
    }

    long millisSinceShortage(long nowMillis) {
        return nowMillis - lastShortageMillis;
    }

    long idleMillis(long nowMillis) {
        return nowMillis - lastUsedMillis;
    }

    double demand(long nowMillis) {
        return meter.perSecond(nowMillis);
    }

    double tokens(long nowMillis) {
        double tokens = 0;
        for (HeldShare share : shares.values()) {
            tokens += share.tokens(nowMillis);
        }
        return tokens;
    }

    double heldRate(long nowMillis) {
        double rate = 0;
        for (HeldShare share : shares.values()) {
            rate += share.rate(nowMillis);
        }
        return rate;
    }

    long millisUntilToken(long nowMillis, long maxMillis) {
        return shares.values().stream()
                .mapToLong(s -> s.millisUntilToken(nowMillis, maxMillis))
                .min()
                .orElse(maxMillis);
    }

    /** Takes one token as fractions from several shares. */
    private boolean tryTakeFractions(long nowMillis) {
        if (tokens(nowMillis) < 1) {
            return false;
        }
        double missing = 1;
        for (HeldShare share : shares.values()) {
            missing -= share.withdraw(missing, nowMillis);
        }
        return true;
    }
}
