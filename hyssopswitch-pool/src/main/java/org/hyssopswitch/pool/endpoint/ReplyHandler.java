package org.hyssopswitch.pool.endpoint;

import org.hyssopswitch.pool.statement.Reply;

/** Receives the reply to one command. Exactly one of the methods is called, exactly once. */
public interface ReplyHandler {

    /** A handler that ignores the reply. */
    ReplyHandler NONE = new ReplyHandler() {
        @Override
        public void replied(Reply reply) {
            // Nothing depends on the reply.
        }

        @Override
        public void connectionLost() {
            // The user of the connection is notified by the handler of its own statement.
        }
    };

    /**
     * The command was answered.
     *
     * @param reply the reply
     */
    void replied(Reply reply);

    /** The connection was closed before the command was answered. */
    void connectionLost();

    /**
     * Replies no longer followed the commands of the connection in order, and it was closed. Unlike on a connection that
     * was only lost, statements may have run outside the transaction that they belong to.
     */
    default void outOfStep() {
        connectionLost();
    }

    /** The connection was closed before the command was sent. */
    default void notSent() {
        connectionLost();
    }
}
