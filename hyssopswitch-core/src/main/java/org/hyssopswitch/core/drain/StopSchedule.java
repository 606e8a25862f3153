package org.hyssopswitch.core.drain;

/**
 * When a VM that stops ends what its callers do, by the time since the stop was requested.
 *
 * <p>Load: callers send the next statement as soon as they have the answer to the last one, in open sessions, until the
 * process is gone. A session that is looked at from time to time is then hardly ever found idle, so it has to be ended at
 * the boundary itself, and a statement may only start if it ends before the process does.
 *
 * @param sessionsEndMillis time after which sessions end at the boundary of an operation, milliseconds
 * @param transactionsEndMillis time after which open transactions end at the boundary of a statement, milliseconds
 * @param endMillis time after which the process ends, milliseconds
 */
public record StopSchedule(long sessionsEndMillis, long transactionsEndMillis, long endMillis) {

    /** Fraction of the grace period in which open transactions may end. */
    private static final double TRANSACTION_GRACE_FRACTION = 0.5;

    /** Checks the order. */
    public StopSchedule {
        if (sessionsEndMillis < 0 || transactionsEndMillis < 0 || endMillis < 0) {
            throw new IllegalArgumentException("times of a stop must not be negative, but are " + sessionsEndMillis
                    + ", " + transactionsEndMillis + " and " + endMillis + " ms");
        }
    }

    /**
     * Returns the schedule of a stop.
     *
     * @param graceMillis time after which the process is killed, milliseconds
     * @param sessionsEndMillis time after which sessions end at the boundary of an operation, milliseconds
     * @param reserveMillis time reserved for closing connections, milliseconds
     */
    public static StopSchedule of(long graceMillis, long sessionsEndMillis, long reserveMillis) {
        return new StopSchedule(
                sessionsEndMillis,
                Math.round(graceMillis * TRANSACTION_GRACE_FRACTION),
                Math.max(0, graceMillis - reserveMillis));
    }

    /**
     * Whether a session ends once it has answered an operation.
     *
     * @param elapsedMillis time since the stop was requested, milliseconds
     */
    public boolean endsSessions(long elapsedMillis) {
        return elapsedMillis >= sessionsEndMillis;
    }

    /**
     * Whether a transaction ends once it has answered a statement.
     *
     * @param elapsedMillis time since the stop was requested, milliseconds
     */
    public boolean endsTransactions(long elapsedMillis) {
        return elapsedMillis >= transactionsEndMillis;
    }

    /**
     * Whether a statement may start. As long as transactions go on, all may: hardly any takes the rest of the grace period.
     *
     * @param elapsedMillis time since the stop was requested, milliseconds
     * @param timeoutMillis time within which the statement is answered, milliseconds
     */
    public boolean mayStart(long elapsedMillis, long timeoutMillis) {
        return !endsTransactions(elapsedMillis) || elapsedMillis + timeoutMillis <= endMillis;
    }

    /**
     * Whether the process ends, whatever still runs.
     *
     * @param elapsedMillis time since the stop was requested, milliseconds
     */
    public boolean isOver(long elapsedMillis) {
        return elapsedMillis >= endMillis;
    }
}
