package org.hyssopswitch.core.limit;

/**
 * The arrival rate of a client account's statements at this VM, as an exponentially weighted moving average over about
 * a second. It follows a rise faster than a fall.
 */
final class DemandMeter {

    private static final long WINDOW_MILLIS = 100;
    private static final double RISING_WEIGHT = 0.5;
    private static final double FALLING_WEIGHT = 0.1;

    /** Bounds the work after a long time without a call; after this many empty windows the rate is close to 0. */
    private static final int MAX_WINDOWS = 64;

    private long windowStartMillis;
    private int arrivals;
    private double perSecond;

    DemandMeter(long nowMillis) {
        windowStartMillis = nowMillis;
    }

    void count(long nowMillis) {
        closeWindows(nowMillis);
        arrivals++;
    }

    /** Returns statements per second. */
    double perSecond(long nowMillis) {
        closeWindows(nowMillis);
        return perSecond;
    }

    private void closeWindows(long nowMillis) {
        long windows = Math.min(MAX_WINDOWS, (nowMillis - windowStartMillis) / WINDOW_MILLIS);
        for (long i = 0; i < windows; i++) {
            double rate = arrivals * 1_000.0 / WINDOW_MILLIS;
            perSecond += (rate > perSecond ? RISING_WEIGHT : FALLING_WEIGHT) * (rate - perSecond);
            arrivals = 0;
        }
        if (windows > 0) {
            windowStartMillis = nowMillis - (nowMillis - windowStartMillis) % WINDOW_MILLIS;
        }
    }
}
