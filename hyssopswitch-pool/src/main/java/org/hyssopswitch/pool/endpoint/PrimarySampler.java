package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/**
 * Asks an endpoint whether it is the primary and for its log position.
 *
 * <p>The start of a read-write transaction is the question, because only a primary accepts it. All listeners that ask
 * before it is sent share one question.
 */
final class PrimarySampler {

    /** Listeners kept at most; one that is dropped asks again. */
    private static final int MAX_LISTENERS = 1_024;

    private final EndpointPool pool;
    private final Deque<PositionListener> listeners = new ArrayDeque<>();

    PrimarySampler(EndpointPool pool) {
        this.pool = pool;
    }

    /** Asks on behalf of a listener. */
    void query(PositionListener listener) {
        listeners.addLast(listener);
        if (listeners.size() > MAX_LISTENERS) {
            listeners.removeFirst();
        }
        sample();
    }

    /** Sends the question for the listeners that still wait. */
    void tick() {
        if (!listeners.isEmpty()) {
            sample();
        }
    }

    /** The endpoint cannot be reached. */
    void notifyUnreachable() {
        List<PositionListener> notified = List.copyOf(listeners);
        listeners.clear();
        notified.forEach(PositionListener::unreachable);
    }

    /** Sends the question if a connection is at hand. */
    void sample() {
        pool.findIdleOrOpen().forEach(connection -> {
            List<PositionListener> notified = List.copyOf(listeners);
            listeners.clear();
            connection.markLent();
            connection.send(
                    new EndpointCommand.Begin(false, Option.none()),
                    new SampleReply(connection, pool.nowMillis(), notified));
        });
    }

    private record SampleReply(PooledConnection connection, long askedMillis, List<PositionListener> notified)
            implements ReplyHandler {

        @Override
        public void replied(Reply reply) {
            if (reply.succeeded()) {
                reply.position().forEach(position -> {
                    connection.reportPrimary(askedMillis, position);
                    notified.forEach(listener -> listener.primaryConfirmed(position));
                });
                connection.send(new EndpointCommand.Rollback(), ReplyHandler.NONE);
            } else if (reply.error().contains(ErrorCode.READ_ONLY)) {
                connection.reportNotPrimary();
                notified.forEach(PositionListener::notPrimary);
            }
            connection.release();
        }

        @Override
        public void connectionLost() {
            // The pool counts the failure of the connection, and whoever asked asks again.
        }
    }
}
