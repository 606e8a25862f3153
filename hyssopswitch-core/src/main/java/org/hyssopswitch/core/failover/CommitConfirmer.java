package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Confirms that a majority of a database group holds a position in a term that none of that majority has left.
 *
 * @see org.hyssopswitch.core.engine.Action.ResolveCommit
 */
public interface CommitConfirmer {

    /**
     * Requests a confirmation; the answer is a {@code ResolveCommit} action.
     *
     * @param ticket number that the caller chose
     * @param primary the endpoint that wrote or read at the position
     * @param position the position
     * @param deadlineMillis time of the monotonic clock at which the confirmation is given up
     * @param nowMillis milliseconds of the monotonic clock
     * @param out takes the actions to perform
     */
    void confirm(
            long ticket, EndpointId primary, LogPosition position, long deadlineMillis, long nowMillis, Outbox out);
}
