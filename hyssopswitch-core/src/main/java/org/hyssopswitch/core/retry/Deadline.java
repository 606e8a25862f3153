package org.hyssopswitch.core.retry;

/**
 * The time by which an operation must complete.
 *
 * @param atMillis milliseconds of the monotonic clock
 */
public record Deadline(long atMillis) {

    /**
     * Returns the deadline of an operation that starts now.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param timeoutMillis milliseconds until the deadline, 0 or more
     */
    public static Deadline after(long nowMillis, long timeoutMillis) {
        if (timeoutMillis < 0) {
            throw new IllegalArgumentException("the timeout must not be negative, but is " + timeoutMillis);
        }
        return new Deadline(nowMillis + timeoutMillis);
    }

    /**
     * Returns the remaining milliseconds, never negative.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, atMillis - nowMillis);
    }

    /**
     * Whether the deadline has passed.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public boolean hasPassed(long nowMillis) {
        return nowMillis >= atMillis;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other deadline
     */
    public Deadline earlier(Deadline other) {
        return other.atMillis < atMillis ? other : this;
    }
}
