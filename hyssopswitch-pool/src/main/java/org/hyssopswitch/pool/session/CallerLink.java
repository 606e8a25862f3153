package org.hyssopswitch.pool.session;

import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** One connection of a caller, used on the decision thread. */
public interface CallerLink {

    /** Tells the caller that the session is open. */
    void acceptSession();

    /**
     * Answers a statement.
     *
     * @param reply the whole answer
     */
    void reply(Reply reply);

    /**
     * Refuses the session and closes the connection.
     *
     * @param code why
     * @param text one line for people
     */
    void refuseSession(ErrorCode code, String text);

    /** Closes the connection. */
    void close();
}
