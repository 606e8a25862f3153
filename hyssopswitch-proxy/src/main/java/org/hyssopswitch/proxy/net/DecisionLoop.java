package org.hyssopswitch.proxy.net;

import java.util.concurrent.Executor;

/** The thread on which all decisions of a VM are taken; tasks run one at a time, in the order of their submission. */
public interface DecisionLoop extends Executor {

    /** Milliseconds of the monotonic clock. */
    long nowMillis();

    /**
     * Runs a task once after a delay.
     *
     * @param delayMillis milliseconds to wait; 0 or less to run as soon as possible
     * @param task the task
     * @return ends the wait if the task has not started yet
     */
    Timer schedule(long delayMillis, Runnable task);

    /** A task that waits for its time. */
    @FunctionalInterface
    interface Timer {

        /** Drops the task if it has not started yet. */
        void cancel();
    }
}
