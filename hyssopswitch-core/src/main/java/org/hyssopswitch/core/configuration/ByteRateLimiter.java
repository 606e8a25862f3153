package org.hyssopswitch.core.configuration;

/** Bounds the bytes that are sent per second; one page may exceed what is left and delays the next. */
final class ByteRateLimiter {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long bytesPerSecond;
    private long availableBytes;
    private long updatedMillis;
    private boolean started;

    ByteRateLimiter(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.availableBytes = bytesPerSecond;
    }

    /** Milliseconds until something may be sent; 0 for now. */
    long waitMillis(long nowMillis) {
        refill(nowMillis);
        return availableBytes > 0 ? 0 : 1 - availableBytes * MILLIS_PER_SECOND / bytesPerSecond;
    }

    void consume(long bytes) {
        availableBytes -= bytes;
    }

    private void refill(long nowMillis) {
        if (started) {
            long refilledBytes = (nowMillis - updatedMillis) * bytesPerSecond / MILLIS_PER_SECOND;
            availableBytes = Math.min(bytesPerSecond, availableBytes + Math.max(0, refilledBytes));
        }
        started = true;
        updatedMillis = nowMillis;
    }
}
