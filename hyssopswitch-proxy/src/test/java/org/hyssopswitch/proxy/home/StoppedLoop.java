package org.hyssopswitch.proxy.home;

import org.hyssopswitch.proxy.net.DecisionLoop;

/** A loop whose time stands still: tasks run at once, and those that are scheduled never do. */
final class StoppedLoop implements DecisionLoop {

    @Override
    public long nowMillis() {
        return 0;
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        return () -> {};
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }
}
