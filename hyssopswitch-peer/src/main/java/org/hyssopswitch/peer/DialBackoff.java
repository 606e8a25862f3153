package org.hyssopswitch.peer;

import java.util.random.RandomGenerator;

/** Exponential delay between dials, with jitter over its upper half. */
final class DialBackoff {

    private final long minMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private long delayMillis;
    private long notBeforeMillis = Long.MIN_VALUE;

    DialBackoff(long minMillis, long maxMillis, RandomGenerator random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    boolean mayDial(long nowMillis) {
        return nowMillis >= notBeforeMillis;
    }

    void failed(long nowMillis) {
        delayMillis = delayMillis == 0 ? minMillis : Math.min(maxMillis, delayMillis * 2);
        notBeforeMillis = nowMillis + delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
    }

    void opened() {
        delayMillis = 0;
        notBeforeMillis = Long.MIN_VALUE;
    }
}
