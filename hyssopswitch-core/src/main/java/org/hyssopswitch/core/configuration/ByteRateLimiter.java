package org.hyssopswitch.core.configuration;

/** Bounds the bytes that are sent per second; one page may exceed what is left and delays the next. */
final class ByteRateLimiter {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long bytesPerSecond;
    private long available;
    private long updatedMillis;
    private boolean started;

    ByteRateLimiter(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.available = bytesPerSecond;
    }

    /** Milliseconds until something may be sent; 0 for now. */
    long waitMillis(long nowMillis) {
        refill(nowMillis);
        return available > 0 ? 0 : 1 - available * MILLIS_PER_SECOND / bytesPerSecond;
    }

    void consume(long bytes) {
        available -= bytes;
    }

    private void refill(long nowMillis) {
        if (started) {
            long earned = (nowMillis - updatedMillis) * bytesPerSecond / MILLIS_PER_SECOND;
            available = Math.min(bytesPerSecond, available + Math.max(0, earned));
        }
        started = true;
        updatedMillis = nowMillis;
    }
}
