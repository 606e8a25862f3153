package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.fairness.StatementQueue;

/** Creates the queues of endpoints. */
@FunctionalInterface
public interface QueueFactory {

    /**
     * Creates a queue.
     *
     * @param <T> what is queued
     */
    <T> StatementQueue<T> create();
}
