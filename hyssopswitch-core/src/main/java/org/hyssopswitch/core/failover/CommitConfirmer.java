package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Confirms that a majority of a database group holds a log position, and that no endpoint of this majority had accepted
 * a term higher than that of the position.
 *
 * @see org.hyssopswitch.core.engine.Action.ResolveCommit
 */
public interface CommitConfirmer {

    /**
     * Requests a confirmation; the result is emitted as a {@code ResolveCommit} action.
     *
     * @param ticket number by which the caller matches the result
     * @param primary the primary at which the position was written or read
     * @param position the log position
     * @param deadlineMillis time of the monotonic clock at which the confirmation fails
     * @param nowMillis milliseconds of the monotonic clock
     * @param out receives the actions to perform
     */
    void confirm(
            long ticket, EndpointId primary, LogPosition position, long deadlineMillis, long nowMillis, Outbox out);
}
