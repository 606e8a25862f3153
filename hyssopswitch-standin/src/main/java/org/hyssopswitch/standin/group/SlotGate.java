package org.hyssopswitch.standin.group;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the statements that run at the same time; others wait in order of arrival. */
final class SlotGate {

    private final int slots;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int used;

    SlotGate(int slots) {
        this.slots = slots;
    }

    /** Runs the task when a slot is free, now or later. */
    void acquire(Runnable task) {
        if (used < slots) {
            used++;
            task.run();
        } else {
            waiting.add(task);
        }
    }

    /** Withdraws a waiting task; false when it has its slot. */
    boolean withdraw(Runnable task) {
        return waiting.remove(task);
    }

    void release() {
        used--;
        if (!waiting.isEmpty()) {
            acquire(waiting.remove());
        }
    }
}
