package org.hyssopswitch.pool.vm;

import java.util.function.IntSupplier;
import org.hyssopswitch.pool.session.Sessions;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Closes the sessions of a VM that shuts down, without interrupting a request. */
final class SessionDrain {

    /** Time in which the balancer notices that the VM is not ready, milliseconds: two probe periods of one second. */
    private static final long READINESS_PROPAGATION_MILLIS = 2_200;

    private static final long STEP_PERIOD_MILLIS = 50;

    /** Fraction of the grace period in which open transactions may end; idle ones are aborted afterwards. */
    private static final double TRANSACTION_GRACE_FRACTION = 0.5;

    /** Time reserved for closing connections before the process is killed, milliseconds. */
    private static final long SHUTDOWN_RESERVE_MILLIS = 400;

    /** Number of idle sessions closed per step, so that their callers do not reconnect all at once. */
    private static final int SESSIONS_CLOSED_PER_STEP = 4;

    private final DecisionLoop loop;
    private final IntSupplier remaining;
    private final Sessions sessions;
    private final long graceMillis;
    private final Runnable done;
    private final long startMillis;

    SessionDrain(DecisionLoop loop, IntSupplier remaining, Sessions sessions, long graceMillis, Runnable done) {
        this.loop = loop;
        this.remaining = remaining;
        this.sessions = sessions;
        this.graceMillis = graceMillis;
        this.done = done;
        this.startMillis = loop.nowMillis();
    }

    void start() {
        loop.schedule(READINESS_PROPAGATION_MILLIS, this::step);
    }

    private void step() {
        long elapsed = loop.nowMillis() - startMillis;
        boolean transactionGraceOver = elapsed > graceMillis * TRANSACTION_GRACE_FRACTION;
        if (transactionGraceOver) {
            sessions.abortIdleTransactions("the VM is stopping");
        }
        sessions.closeIdle(transactionGraceOver ? Integer.MAX_VALUE : SESSIONS_CLOSED_PER_STEP);
        boolean empty = transactionGraceOver && remaining.getAsInt() == 0;
        if (empty || elapsed > graceMillis - SHUTDOWN_RESERVE_MILLIS) {
            done.run();
        } else {
            loop.schedule(STEP_PERIOD_MILLIS, this::step);
        }
    }
}
