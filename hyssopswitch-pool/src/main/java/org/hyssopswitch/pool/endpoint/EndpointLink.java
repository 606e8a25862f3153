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
     * Sends commands; each receives one reply, in order.
     *
     * @param commands the commands
     */
    void send(List<EndpointCommand> commands);

    /** Closes the connection without notifying the listener. */
    void close();

    /** Receives the events of a connection. */
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
         * @param code the cause
         */
        void refused(ErrorCode code);

        /**
         * A command was answered.
         *
         * @param reply the reply
         */
        void replied(Reply reply);

        /** The connection could not be opened or was closed by the other side. */
        void closed();

        /** The connection was refused because no process listens at the address. */
        default void notListening() {
            closed();
        }

        /**
         * The lender refused or ended the lease of a borrowed connection.
         *
         * @param reason the reason
         */
        void leaseEnded(LeaseEndReason reason);
    }
}
