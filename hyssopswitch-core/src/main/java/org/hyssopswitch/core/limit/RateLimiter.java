package org.hyssopswitch.core.limit;

import io.vavr.control.Option;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/** Admits statements within the share of a client account's rate and burst that this VM holds. */
public interface RateLimiter {

    /**
     * Takes the token of one statement from the share.
     *
     * @param account the client account
     * @param nowMillis milliseconds of the monotonic clock
     * @return the refusal, or nothing when the statement is admitted
     */
    Option<Refusal> tryAcquire(ClientAccountId account, long nowMillis);

    /**
     * Takes the token of one statement from the share, or says when to ask again for it. A limiter that distributes
     * shares uses the wait to obtain one when a client account turns to a VM that holds none yet.
     *
     * @param account the client account
     * @param firstAskedMillis time of the monotonic clock of the first call for this statement
     * @param nowMillis milliseconds of the monotonic clock
     */
    default Admission admit(ClientAccountId account, long firstAskedMillis, long nowMillis) {
        return tryAcquire(account, nowMillis)
                .<Admission>map(Admission.Refused::new)
                .getOrElse(Admission.Admitted::new);
    }
}
