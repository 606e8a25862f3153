package org.hyssopswitch.core.connection;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * The open connections of a client that carry no request.
 *
 * <p>Connections can go silent without a reset while new ones work, many at a time. A connection is therefore reused
 * only for a short time after its last response, and none that is open when a request remains unanswered.
 *
 * @param <C> type of a connection
 */
public final class IdleConnections<C> {

    private final long idleTimeoutMillis;
    private final LongSupplier clock;
    private final Deque<Idle<C>> newestFirst = new ArrayDeque<>();

    /**
     * Creates an empty set.
     *
     * @param idleTimeoutMillis time after its last response for which a connection may be used again, 1 or more
     * @param clock milliseconds of the monotonic clock
     */
    public IdleConnections(long idleTimeoutMillis, LongSupplier clock) {
        if (idleTimeoutMillis < 1) {
            throw new IllegalArgumentException("the idle timeout must be 1 ms or more, but is " + idleTimeoutMillis);
        }
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.clock = clock;
    }

    /**
     * Adds a connection that has just delivered a response.
     *
     * @param connection the connection
     */
    public void add(C connection) {
        newestFirst.addFirst(new Idle<>(connection, clock.getAsLong()));
    }

    /** Removes and returns the connection with the latest response, unless all have expired. */
    public Option<Idle<C>> take() {
        return Option.of(newestFirst.peekFirst()).filter(this::isUsable).peek(newestFirst::remove);
    }

    /** Removes and returns the connections that have expired; the caller closes them. */
    public List<C> removeExpired() {
        List<C> expired = new ArrayList<>();
        while (!newestFirst.isEmpty() && !isUsable(newestFirst.peekLast())) {
            expired.add(newestFirst.removeLast().connection());
        }
        return expired;
    }

    /** Removes and returns all connections after a request remained unanswered; the caller closes them. */
    public List<C> removeAll() {
        List<C> all = newestFirst.stream().map(Idle::connection).toList();
        newestFirst.clear();
        return all;
    }

    private boolean isUsable(Idle<C> idle) {
        return clock.getAsLong() - idle.sinceMillis() < idleTimeoutMillis;
    }

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param sinceMillis time of its last response, milliseconds of the monotonic clock
     */
    public record Idle<C>(C connection, long sinceMillis) {

        /** Checks the connection. */
        public Idle {
            Objects.requireNonNull(connection, "an idle connection must not be null");
        }
    }
}
