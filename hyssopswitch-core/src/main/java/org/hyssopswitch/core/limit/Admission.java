package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.failure.Refusal;

/** The decision on a statement against its client account's rate and burst. */
public sealed interface Admission {

    /** The statement may run; its token has been taken. */
    record Admitted() implements Admission {}

    /**
     * No token is available yet but one is expected soon; the caller asks again for the same statement.
     *
     * @param untilMillis time of the monotonic clock at which to ask again
     */
    record Wait(long untilMillis) implements Admission {}

    /**
     * The statement is refused.
     *
     * @param refusal the refusal to return to the caller; the statement has not been executed
     */
    record Refused(Refusal refusal) implements Admission {}
}
