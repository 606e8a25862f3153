package org.hyssopswitch.pool.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** A decision thread in virtual time, which the test advances. */
public final class ManualLoop implements DecisionLoop {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long nowMillis = 1_000_000;
    private long number;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        Task added = new Task(nowMillis + Math.max(0, delayMillis), number++, task);
        tasks.add(added);
        return () -> tasks.remove(added);
    }

    /** Advances the time and runs the tasks that fall due, in order. */
    public void advance(long millis) {
        long until = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= until) {
            Task next = tasks.poll();
            nowMillis = Math.max(nowMillis, next.atMillis());
            next.body().run();
        }
        nowMillis = until;
    }

    private record Task(long atMillis, long number, Runnable body) {}
}
