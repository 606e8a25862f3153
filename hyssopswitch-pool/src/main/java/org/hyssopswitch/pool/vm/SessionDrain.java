package org.hyssopswitch.pool.vm;

import java.util.function.IntSupplier;
import org.hyssopswitch.pool.session.Sessions;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Closes the sessions of a VM that is to stop, without cutting a request. */
final class SessionDrain {

    /** Time in which the balancer notices that the VM is not ready, milliseconds: two probes of a second. */
    private static final long UNREADY_MILLIS = 2_200;

    private static final long STEP_MILLIS = 50;

    /** Part of the grace period that an open transaction has to end. */
    private static final double TRANSACTION_PART = 0.5;

    /** Time kept for closing connections before the kill, milliseconds. */
    private static final long RESERVE_MILLIS = 400;

    /** Sessions closed per step, so that their callers do not reconnect all at once. */
    private static final int CLOSED_PER_STEP = 4;

    private final DecisionLoop loop;
    private final IntSupplier unfinished;
    private final Sessions sessions;
    private final long graceMillis;
    private final Runnable done;
    private final long startMillis;

    SessionDrain(DecisionLoop loop, IntSupplier unfinished, Sessions sessions, long graceMillis, Runnable done) {
        this.loop = loop;
        this.unfinished = unfinished;
        this.sessions = sessions;
        this.graceMillis = graceMillis;
        this.done = done;
        this.startMillis = loop.nowMillis();
    }

    void start() {
        loop.schedule(UNREADY_MILLIS, this::step);
    }

    private void step() {
        long elapsed = loop.nowMillis() - startMillis;
        boolean halfway = elapsed > graceMillis * TRANSACTION_PART;
        if (halfway) {
            sessions.abortIdleTransactions("the VM is stopping");
        }
        sessions.closeIdle(halfway ? Integer.MAX_VALUE : CLOSED_PER_STEP);
        boolean empty = halfway && unfinished.getAsInt() == 0;
        if (empty || elapsed > graceMillis - RESERVE_MILLIS) {
            done.run();
        } else {
            loop.schedule(STEP_MILLIS, this::step);
        }
    }
}
