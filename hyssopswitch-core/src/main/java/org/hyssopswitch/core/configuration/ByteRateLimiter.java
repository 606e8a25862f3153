package org.hyssopswitch.core.configuration;

/** Token bucket that limits the bytes sent per second; a page may overdraw it, which delays the next page. */
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

    /** Returns the milliseconds until the next page may be sent; 0 if it may be sent now. */
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
