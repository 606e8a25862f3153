package org.hyssopswitch.load;

/**
 * The generator's own count of a client account against its declared rate and burst. Thread-safe.
 *
 * <p>A refused statement gives its token back, because it does not count against the rate.
 */
final class RateMeter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double perNano;
    private final double burst;
    private double tokens;
    private long updatedNanos;

    RateMeter(double ratePerSecond, double burst, long nowNanos) {
        this.perNano = ratePerSecond / NANOS_PER_SECOND;
        this.burst = burst;
        this.tokens = burst;
        this.updatedNanos = nowNanos;
    }

    /** Counts a statement that is sent; true when it is within rate and burst. */
    synchronized boolean send(long nowNanos) {
        tokens = Math.min(burst, tokens + (nowNanos - updatedNanos) * perNano);
        updatedNanos = nowNanos;
        boolean within = tokens >= 1;
        tokens = Math.max(-burst, tokens - 1);
        return within;
    }

    synchronized void refused() {
        tokens = Math.min(burst, tokens + 1);
    }
}
