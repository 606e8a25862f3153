package org.hyssopswitch.pool.session;

import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** One connection of a caller, used on the decision thread. */
public interface CallerLink {

    /** Notifies the caller that the session is open. */
    void acceptSession();

    /**
     * Sends the reply to a statement.
     *
     * @param reply the complete reply
     */
    void reply(Reply reply);

    /**
     * Refuses the session and closes the connection.
     *
     * @param code error code for the caller
     * @param text one human-readable line
     */
    void refuseSession(ErrorCode code, String text);

    /** Closes the connection. */
    void close();
}
