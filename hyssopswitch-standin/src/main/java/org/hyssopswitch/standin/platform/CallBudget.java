package org.hyssopswitch.standin.platform;

/** A token bucket of one second's calls. Not thread-safe. */
final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private long updatedNanos;
    private int bound;

    /** Takes a call; gives the seconds until one is allowed, 0 when it is allowed now. */
    double take(int callsPerSecond, long nowNanos) {
        if (callsPerSecond == 0) {
            return 0;
        }
        if (bound != callsPerSecond) {
            bound = callsPerSecond;
            tokens = callsPerSecond;
            updatedNanos = nowNanos;
        }
        tokens = Math.min(callsPerSecond, tokens + (nowNanos - updatedNanos) / NANOS_PER_SECOND * callsPerSecond);
        updatedNanos = nowNanos;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return (1 - tokens) / callsPerSecond;
    }
}
