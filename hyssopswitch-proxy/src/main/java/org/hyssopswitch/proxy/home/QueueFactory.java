package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.fairness.StatementQueue;

/** Creates the statement queues of endpoints. */
@FunctionalInterface
public interface QueueFactory {

    /**
     * Creates a queue.
     *
     * @param <T> type of the queued elements
     */
    <T> StatementQueue<T> create();
}
