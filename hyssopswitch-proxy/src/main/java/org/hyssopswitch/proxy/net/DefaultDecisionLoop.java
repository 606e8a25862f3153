package org.hyssopswitch.proxy.net;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A decision thread of its own. */
public final class DefaultDecisionLoop implements DecisionLoop, AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(DefaultDecisionLoop.class);
    private static final String TASK = "decision";
    private static final long STOP_WAIT_MILLIS = 5_000;

    private final ScheduledThreadPoolExecutor executor;

    /**
     * Starts the thread.
     *
     * @param name name of the thread
     */
    public DefaultDecisionLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRejectedExecutionHandler((task, pool) -> LOG.debug("event=task_dropped reason=loop_stopped"));
    }

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void execute(Runnable task) {
        executor.execute(() -> GuardedTaskUtils.run(TASK, task));
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        Future<?> future = executor.schedule(
                () -> GuardedTaskUtils.run(TASK, task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(STOP_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                LOG.warn("event=loop_stop_timeout waited_ms={}", STOP_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
