package org.hyssopswitch.pool.session;

import org.hyssopswitch.core.drain.StopSchedule;

/** The stop of a VM that has begun, as its sessions see it. */
final class SessionStop {

    private final StopSchedule schedule;
    private final long startMillis;
    private int closesAllowed;
    private boolean ended;

    SessionStop(StopSchedule schedule, long startMillis) {
        this.schedule = schedule;
        this.startMillis = startMillis;
    }

    /** Sets the number of sessions that may be closed until the next call. */
    void allowCloses(int count) {
        closesAllowed = count;
    }

    /** Returns whether a session that has become idle may be closed, and counts it. */
    boolean takeClose(long nowMillis) {
        if (closesAllowed <= 0 || !schedule.endsSessions(nowMillis - startMillis)) {
            return false;
        }
        closesAllowed--;
        return true;
    }

    boolean endsTransactions(long nowMillis) {
        return schedule.endsTransactions(nowMillis - startMillis);
    }

    boolean mayStart(long nowMillis, long timeoutMillis) {
        return !ended && schedule.mayStart(nowMillis - startMillis, timeoutMillis);
    }

    /** Starts no statement from now on. */
    void end() {
        ended = true;
    }
}
