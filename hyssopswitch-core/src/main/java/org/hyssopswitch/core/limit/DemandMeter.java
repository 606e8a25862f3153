package org.hyssopswitch.core.limit;

/** The arrival rate of a client account's statements at this VM, smoothed over about a second. Follows a rise faster than a fall. */
final class DemandMeter {

    private static final long WINDOW_MILLIS = 100;
    private static final double RISING = 0.5;
    private static final double FALLING = 0.1;
    private static final int MAX_WINDOWS = 64;

    private long windowStartMillis;
    private int count;
    private double perSecond;

    DemandMeter(long nowMillis) {
        windowStartMillis = nowMillis;
    }

    void count(long nowMillis) {
        roll(nowMillis);
        count++;
    }

    /** Statements per second. */
    double perSecond(long nowMillis) {
        roll(nowMillis);
        return perSecond;
    }

    private void roll(long nowMillis) {
        long windows = Math.min(MAX_WINDOWS, (nowMillis - windowStartMillis) / WINDOW_MILLIS);
        for (long i = 0; i < windows; i++) {
            double rate = count * 1_000.0 / WINDOW_MILLIS;
            perSecond += (rate > perSecond ? RISING : FALLING) * (rate - perSecond);
            count = 0;
        }
        if (windows > 0) {
            windowStartMillis = nowMillis - (nowMillis - windowStartMillis) % WINDOW_MILLIS;
        }
    }
}
