package org.hyssopswitch.core.connection;

/**
 * What to do with a received reply.
 *
 * @param <H> type of the handlers of commands
 */
public sealed interface ReplyVerdict<H> {

    /**
     * The reply answers the oldest unanswered command.
     *
     * @param handler handler of the command
     */
    record Deliver<H>(H handler) implements ReplyVerdict<H> {}

    /** The reply was given before; it answers nothing and must be dropped. */
    record Repeated<H>() implements ReplyVerdict<H> {}

    /**
     * Replies no longer follow the commands in order, so the connection must be closed.
     *
     * @param cause what is wrong with the reply, as a word for logs
     */
    record OutOfStep<H>(String cause) implements ReplyVerdict<H> {}
}
