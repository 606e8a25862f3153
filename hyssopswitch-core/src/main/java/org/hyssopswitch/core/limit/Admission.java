package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.failure.Refusal;

/** Whether a statement is within its client account's rate and burst. */
public sealed interface Admission {

    /** The statement may run; a token was taken for it. */
    record Admitted() implements Admission {}

    /**
     * A token is expected soon; ask again for the same statement.
     *
     * @param untilMillis time of the monotonic clock at which to ask again
     */
    record Wait(long untilMillis) implements Admission {}

    /**
     * The statement is refused.
     *
     * @param refusal the refusal, which says that the statement has not run
     */
    record Refused(Refusal refusal) implements Admission {}
}
