package org.hyssopswitch.proxy.net;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs tasks that are independent of each other, so that an unexpected exception in one does not end the others. */
public final class GuardedTaskUtils {

    private static final Logger LOG = LogManager.getLogger(GuardedTaskUtils.class);

    private GuardedTaskUtils() {}

    /**
     * Runs a task and logs an exception that it throws.
     *
     * @param name name of the task in the log
     * @param task the task
     * @return whether the task completed
     */
    public static boolean run(String name, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            LOG.error("event=task_failed task={} error={}", name, e.getClass().getSimpleName(), e);
            return false;
        }
    }

    /**
     * Applies an action to each element of a collection, which the action may change.
     *
     * @param name name of the action in the log
     * @param elements the elements
     * @param action the action
     */
    public static <T> void forEach(String name, Collection<? extends T> elements, Consumer<? super T> action) {
        List.copyOf(elements).forEach(element -> run(name, () -> action.accept(element)));
    }
}
