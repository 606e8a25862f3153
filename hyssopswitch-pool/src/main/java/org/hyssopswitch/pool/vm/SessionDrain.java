package org.hyssopswitch.pool.vm;

import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.drain.StopSchedule;
import org.hyssopswitch.pool.session.Sessions;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Closes the sessions of a VM that shuts down, without interrupting a request. */
final class SessionDrain {

    /** Time in which the balancer notices that the VM is not ready, milliseconds: two probe periods of one second. */
    private static final long READINESS_PROPAGATION_MILLIS = 2_200;

    private static final long STEP_PERIOD_MILLIS = 50;

    /** Time reserved for closing connections before the process is killed, milliseconds. */
    private static final long SHUTDOWN_RESERVE_MILLIS = 400;

    /** Number of sessions closed per step, so that their callers do not reconnect all at once. */
    private static final int SESSIONS_CLOSED_PER_STEP = 4;

    private static final Logger LOG = LogManager.getLogger(SessionDrain.class);

    private final DecisionLoop loop;
    private final IntSupplier remaining;
    private final Sessions sessions;
    private final StopSchedule schedule;
    private final Runnable done;
    private final long startMillis;

    SessionDrain(DecisionLoop loop, IntSupplier remaining, Sessions sessions, long graceMillis, Runnable done) {
        this.loop = loop;
        this.remaining = remaining;
        this.sessions = sessions;
        this.schedule = StopSchedule.of(graceMillis, READINESS_PROPAGATION_MILLIS, SHUTDOWN_RESERVE_MILLIS);
        this.done = done;
        this.startMillis = loop.nowMillis();
    }

    void start() {
        sessions.stop(schedule);
        loop.schedule(Math.min(READINESS_PROPAGATION_MILLIS, schedule.endMillis()), this::step);
    }

    private void step() {
        long elapsed = loop.nowMillis() - startMillis;
        boolean transactionsEnd = schedule.endsTransactions(elapsed);
        if (transactionsEnd) {
            sessions.abortIdleTransactions();
        }
        sessions.closeIdle(transactionsEnd ? Integer.MAX_VALUE : SESSIONS_CLOSED_PER_STEP);
        boolean empty = transactionsEnd && remaining.getAsInt() == 0;
        if (empty || schedule.isOver(elapsed)) {
            LOG.info("event=drain_ended sessions={} remaining={}", sessions.size(), remaining.getAsInt());
            sessions.refuseAll();
            done.run();
        } else {
            loop.schedule(STEP_PERIOD_MILLIS, this::step);
        }
    }
}
