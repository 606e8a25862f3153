package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.List;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** One connection to an endpoint, used on the decision thread. */
public interface EndpointLink {

    /**
     * Sends commands; each is answered by one reply, in order.
     *
     * @param commands the commands
     */
    void send(List<EndpointCommand> commands);

    /** Closes the connection; the listener is not told. */
    void close();

    /** Takes what arrives on a connection. */
    interface Listener {

        /**
         * The endpoint accepted the connection.
         *
         * @param position log position of the endpoint
         */
        void opened(Option<LogPosition> position);

        /**
         * The endpoint refused the connection and is about to close it.
         *
         * @param code why
         */
        void refused(ErrorCode code);

        /**
         * A command was answered.
         *
         * @param reply the answer
         */
        void replied(Reply reply);

        /** The connection could not be opened or was closed by the other side. */
        void closed();

        /**
         * The connection was borrowed, and the lender does not lend it or no longer.
         *
         * @param reason why
         */
        void leaseEnded(LeaseEndReason reason);
    }
}
