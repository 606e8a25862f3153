package org.hyssopswitch.core.limit;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * Gives each VM the same fixed part of each client account's rate and burst. It needs no messages but wastes the parts
 * of VMs that an account does not use; it is the baseline against which leased shares are measured.
 */
public final class EvenSplitRateLimiter implements RateLimiter, DecisionSystem {

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private final int parts;
    private final Map<ClientAccountId, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates a limiter that refuses all statements until it is configured.
     *
     * @param parts the number of VMs that share each rate, 1 or more
     */
    public EvenSplitRateLimiter(int parts) {
        if (parts < 1) {
            throw new IllegalArgumentException("the number of parts must be 1 or more, but is " + parts);
        }
        this.parts = parts;
    }

    @Override
    public Option<Refusal> tryAcquire(ClientAccountId account, long nowMillis) {
        TokenBucket bucket = buckets.get(account);
        if (bucket == null) {
            return Option.some(new Refusal.RateExceeded(account, MAX_RETRY_AFTER_MILLIS));
        }
        if (bucket.tryTake(nowMillis)) {
            return Option.none();
        }
        return Option.some(
                new Refusal.RateExceeded(account, bucket.millisUntilToken(nowMillis, MAX_RETRY_AFTER_MILLIS)));
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        // Buckets refill on use.
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        // Fixed parts depend only on the configuration.
    }

    @Override
    public void configure(Configuration configuration, long nowMillis, Outbox out) {
        Map<ClientAccountId, AccountDeclaration> accounts = configuration.accounts();
        buckets.keySet().retainAll(accounts.keySet());
        accounts.values().forEach(a -> resize(a, nowMillis));
    }

    private void resize(AccountDeclaration account, long nowMillis) {
        Rate rate = account.rate();
        buckets.computeIfAbsent(account.id(), id -> new TokenBucket(0, 0, nowMillis))
                .resize(rate.perSecond() / parts, rate.burst() / parts, nowMillis);
    }
}
