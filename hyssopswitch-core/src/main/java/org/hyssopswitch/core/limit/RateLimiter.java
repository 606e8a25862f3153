package org.hyssopswitch.core.limit;

import io.vavr.control.Option;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/** Admits statements within the share of a client account's rate and burst that this VM holds. */
public interface RateLimiter {

    /**
     * Takes one statement from the share.
     *
     * @param account the client account
     * @param nowMillis milliseconds of the monotonic clock
     * @return the refusal, or nothing when the statement is admitted
     */
    Option<Refusal> tryAcquire(ClientAccountId account, long nowMillis);
}
