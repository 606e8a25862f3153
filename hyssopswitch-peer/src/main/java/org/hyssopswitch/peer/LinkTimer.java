package org.hyssopswitch.peer;

/** Runs tasks of the links later, on a thread of the transport. */
@FunctionalInterface
interface LinkTimer {

    /**
     * Runs a task once.
     *
     * @param task the task, which must not block
     * @param delayMillis milliseconds to wait
     */
    void schedule(Runnable task, long delayMillis);
}
