package org.hyssopswitch.pool.endpoint;

import org.hyssopswitch.pool.statement.Reply;

/** Takes the answer to one command. Exactly one of the methods is called, once. */
public interface ReplyHandler {

    /** Ignores the answer. */
    ReplyHandler NONE = new ReplyHandler() {
        @Override
        public void replied(Reply reply) {
            // Nothing depends on the answer.
        }

        @Override
        public void connectionLost() {
            // The holder of the connection is told by the handler of its own statement.
        }
    };

    /**
     * The command was answered.
     *
     * @param reply the answer
     */
    void replied(Reply reply);

    /** The connection ended without an answer. */
    void connectionLost();
}
