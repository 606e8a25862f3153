package org.hyssopswitch.core.retry;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter: each delay lies between half and all of a bound that doubles up to a maximum. */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final long baseMillis;
    private final long maxMillis;
    private final RandomGenerator random;

    /**
     * Creates a backoff.
     *
     * @param baseMillis bound of the first delay, 1 or more
     * @param maxMillis largest bound, at least the base
     * @param random source of the jitter
     */
    public Backoff(long baseMillis, long maxMillis, RandomGenerator random) {
        if (baseMillis < 1 || maxMillis < baseMillis) {
            throw new IllegalArgumentException(
                    "the backoff must start at 1 ms or more and not above its maximum, but is " + baseMillis + " to "
                            + maxMillis + " ms");
        }
        this.baseMillis = baseMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /**
     * Returns a randomized delay before a retry.
     *
     * @param retry number of the retry, from 1
     * @return milliseconds, 1 or more
     */
    public long delayMillis(int retry) {
        if (retry < 1) {
            throw new IllegalArgumentException("the number of a retry must be 1 or more, but is " + retry);
        }
        double bound =
                Math.min((double) maxMillis, Math.scalb((double) baseMillis, Math.min(retry - 1, MAX_DOUBLINGS)));
        return Math.max(1, Math.round(bound * (1 + random.nextDouble()) / 2));
    }
}
