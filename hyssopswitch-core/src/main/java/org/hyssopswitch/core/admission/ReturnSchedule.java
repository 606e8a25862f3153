package org.hyssopswitch.core.admission;

/**
 * Tells refused callers when to return, for a client account that sends several times its rate.
 *
 * <p>Callers that are all told the time of the next free token return together and are refused again. Each refusal
 * therefore books the next free token, so that callers return one by one, at the rate at which they can be admitted.
 */
public final class ReturnSchedule {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final long maxDelayMillis;
    private double nextFreeMillis;

    /**
     * Creates a schedule without bookings.
     *
     * @param maxDelayMillis longest delay to return, milliseconds; callers beyond it share the last place
     */
    public ReturnSchedule(long maxDelayMillis) {
        this.maxDelayMillis = maxDelayMillis;
    }

    /**
     * Books the next free token and returns the delay until then, milliseconds.
     *
     * @param ratePerSecond rate at which operations are admitted
     * @param firstTokenMillis time until the first token that no waiting operation needs, milliseconds
     * @param nowMillis milliseconds of the monotonic clock
     */
    public long book(double ratePerSecond, long firstTokenMillis, long nowMillis) {
        if (ratePerSecond <= 0) {
            return maxDelayMillis;
        }
        nextFreeMillis = Math.max(nextFreeMillis, (double) nowMillis + firstTokenMillis);
        double delayMillis = nextFreeMillis - nowMillis;
        if (delayMillis >= maxDelayMillis) {
            return maxDelayMillis;
        }
        nextFreeMillis += MILLIS_PER_SECOND / ratePerSecond;
        return Math.max(1, (long) Math.ceil(delayMillis));
    }
}
