package org.hyssopswitch.pool.quota;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.limit.TokenBucket;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;

/**
 * Admits operations of client accounts at this VM's share of their rates.
 *
 * <p>The shares of all VMs add up to the declared rate and burst, so the limit holds without any exchange.
 */
public final class AccountLimiter {

    /** Longest wait told to a caller, milliseconds. */
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final LongSupplier clock;
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates a limiter that knows no account.
     *
     * @param clock milliseconds of the monotonic clock
     */
    public AccountLimiter(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Takes the limits of a configuration.
     *
     * @param catalog the configuration
     * @param vms number of VMs that share the limits, 1 or more
     */
    public void update(Catalog catalog, int vms) {
        long now = clock.getAsLong();
        Map<String, Rate> limits = new HashMap<>();
        catalog.accounts().values().forEach(account -> account.limit()
                .forEach(rate -> limits.put(account.name(), rate)));
        buckets.keySet().retainAll(limits.keySet());
        limits.forEach((name, rate) -> buckets.computeIfAbsent(name, key -> new TokenBucket(0, 0, now))
                .resize(rate.perSecond() / vms, Math.max(1, rate.burst() / vms), now));
    }

    /**
     * Admits an operation.
     *
     * @param account the client account
     * @return nothing when it is admitted, otherwise milliseconds until the next may be
     */
    public Option<Long> admit(Account account) {
        TokenBucket bucket = buckets.get(account.name());
        long now = clock.getAsLong();
        if (bucket == null || bucket.tryTake(now)) {
            return Option.none();
        }
        return Option.some(bucket.untilTokenMillis(now, MAX_RETRY_MILLIS));
    }
}
