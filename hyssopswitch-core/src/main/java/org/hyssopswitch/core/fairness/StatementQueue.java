package org.hyssopswitch.core.fairness;

import io.vavr.control.Option;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * The bounded queue of statements that wait for a slot of one endpoint.
 *
 * @param <T> what is queued
 */
public interface StatementQueue<T> {

    /**
     * Adds a statement.
     *
     * @param account the client account that the statement is charged to
     * @param item the statement
     * @param deadlineMillis time of the monotonic clock at which the statement times out, in milliseconds
     * @param nowMillis milliseconds of the monotonic clock
     * @return the refusal; none if the statement is queued
     */
    Option<Refusal> offer(ClientAccountId account, T item, long deadlineMillis, long nowMillis);

    /**
     * Removes and returns the statement to run next; statements whose deadline has passed are dropped.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    Optional<T> poll(long nowMillis);

    /**
     * Removes and returns the statements dropped since the last call, which will not run: their deadline has passed, or
     * they were shed to make room for a client account that uses less of its share.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    List<T> removeDropped(long nowMillis);

    /** Returns the number of queued statements. */
    int size();
}
