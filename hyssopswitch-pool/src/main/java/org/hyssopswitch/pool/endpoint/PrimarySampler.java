package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/**
 * Queries whether an endpoint is the primary, and its log position.
 *
 * <p>The query is the start of a read-write transaction, because only a primary accepts it. All listeners that are
 * added before a query is sent share it.
 */
final class PrimarySampler {

    /** Maximum number of waiting listeners; one that is dropped must query again. */
    private static final int MAX_LISTENERS = 1_024;

    private final EndpointPool pool;
    private final Deque<PositionListener> listeners = new ArrayDeque<>();

    PrimarySampler(EndpointPool pool) {
        this.pool = pool;
    }

    /** Queries on behalf of a listener. */
    void query(PositionListener listener) {
        listeners.addLast(listener);
        if (listeners.size() > MAX_LISTENERS) {
            listeners.removeFirst();
        }
        sample();
    }

    /** Sends the query if listeners still wait for it. */
    void tick() {
        if (!listeners.isEmpty()) {
            sample();
        }
    }

    /** Notifies all waiting listeners that the endpoint is unreachable. */
    void notifyUnreachable() {
        List<PositionListener> notified = List.copyOf(listeners);
        listeners.clear();
        notified.forEach(PositionListener::unreachable);
    }

    /** Sends the query if a connection is idle. */
    void sample() {
        pool.findIdleOrOpen().forEach(connection -> {
            List<PositionListener> notified = List.copyOf(listeners);
            listeners.clear();
            connection.markInUse();
            connection.send(
                    new EndpointCommand.Begin(false, Option.none()),
                    new SampleReply(connection, pool.nowMillis(), notified));
        });
    }

    private final class SampleReply implements ReplyHandler {

        private final PooledConnection connection;
        private final long askedMillis;
        private final List<PositionListener> notified;

        SampleReply(PooledConnection connection, long askedMillis, List<PositionListener> notified) {
            this.connection = connection;
            this.askedMillis = askedMillis;
            this.notified = notified;
        }

        @Override
        public void replied(Reply reply) {
            if (reply.succeeded()) {
                ReplyHandler handler = reply.position()
                        .map(position -> (ReplyHandler) new EndReply(this, position))
                        .getOrElse(ReplyHandler.NONE);
                connection.send(new EndpointCommand.Rollback(), handler);
            } else if (reply.error().contains(ErrorCode.READ_ONLY)) {
                connection.reportNotPrimary();
                notified.forEach(PositionListener::notPrimary);
            }
            connection.release();
        }

        @Override
        public void connectionLost() {
            // The pool handles the lost connection, and listeners query again.
        }

        private void confirmed(LogPosition position) {
            connection.reportPrimary(askedMillis, position);
            notified.forEach(listener -> listener.primaryConfirmed(position));
        }
    }

    /** Uses the sample if the reply to the rollback shows that the one to the start of the transaction was no repeat. */
    private final class EndReply implements ReplyHandler {

        private final SampleReply sample;
        private final LogPosition position;

        EndReply(SampleReply sample, LogPosition position) {
            this.sample = sample;
            this.position = position;
        }

        @Override
        public void replied(Reply reply) {
            if (reply.succeeded() && !sample.connection.retiring()) {
                sample.confirmed(position);
            } else {
                // The next tick queries again.
                listeners.addAll(sample.notified);
            }
        }

        @Override
        public void connectionLost() {
            // The pool handles the lost connection, and listeners query again.
        }
    }
}
