package org.hyssopswitch.load;

/** The longest interval without an acknowledged write, from the first one to the end. Thread-safe. */
final class WriteGap {

    private boolean started;
    private long lastNanos;
    private long longestNanos;

    synchronized void acknowledged(long nowNanos) {
        if (started) {
            longestNanos = Math.max(longestNanos, nowNanos - lastNanos);
        }
        started = true;
        lastNanos = nowNanos;
    }

    /** Ends the measurement and gives the longest interval. */
    synchronized long endNanos(long nowNanos) {
        acknowledged(nowNanos);
        return longestNanos;
    }
}
