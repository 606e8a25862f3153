package org.hyssopswitch.standin.group;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failure.HyssopException;

/** The thread to which the state of a group is confined. */
final class GroupThread {

    private static final Logger LOG = LogManager.getLogger(GroupThread.class);

    private final ScheduledExecutorService executor;

    GroupThread(String name) {
        this.executor = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread thread = new Thread(r, "standin-" + name);
            thread.setDaemon(true);
            return thread;
        });
    }

    long nowNanos() {
        return System.nanoTime();
    }

    void execute(Runnable task) {
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("event=task_dropped reason=stopped");
        }
    }

    void schedule(Runnable task, long delayNanos) {
        Runnable unused = scheduleCancellable(task, delayNanos);
    }

    /** Schedules a task; running the result cancels it. */
    Runnable scheduleCancellable(Runnable task, long delayNanos) {
        try {
            Future<?> future = executor.schedule(guarded(task), delayNanos, TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) {
            LOG.debug("event=task_dropped reason=stopped");
            return () -> {};
        }
    }

    void repeat(Runnable task, long periodNanos) {
        Future<?> unused = executor.scheduleAtFixedRate(guarded(task), periodNanos, periodNanos, TimeUnit.NANOSECONDS);
    }

    /** Runs a task on the thread and waits for its result; must not be called on the thread itself. */
    <T> T call(Callable<T> task) {
        try {
            return executor.submit(task).get();
        } catch (ExecutionException e) {
            throw new HyssopException("a call to the group failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HyssopException("interrupted while waiting for the group", e);
        }
    }

    void stop() {
        executor.shutdownNow();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("event=task_failed", e);
            }
        };
    }
}
