package org.hyssopswitch.pool.endpoint;

import java.util.function.LongSupplier;

/**
 * Detects that the VM may have been suspended, during which the monotonic clock stops.
 *
 * <p>The wall clock includes the time of a suspension and the monotonic clock does not. Each change of their difference
 * is considered a suspension; a step of the wall clock has the same effect, which costs little.
 */
final class SuspensionDetector {

    /** Change of the difference above which a suspension is assumed, milliseconds; slewing the clock stays below it. */
    private static final long TOLERANCE_MILLIS = 100;

    private final LongSupplier monotonicMillis;
    private final LongSupplier wallClockMillis;
    private long differenceMillis;

    SuspensionDetector(LongSupplier monotonicMillis, LongSupplier wallClockMillis) {
        this.monotonicMillis = monotonicMillis;
        this.wallClockMillis = wallClockMillis;
        this.differenceMillis = wallClockMillis.getAsLong() - monotonicMillis.getAsLong();
    }

    /** Returns whether the VM may have been suspended since this method last returned true, or since the start. */
    boolean detectSuspension() {
        long difference = wallClockMillis.getAsLong() - monotonicMillis.getAsLong();
        if (Math.abs(difference - differenceMillis) <= TOLERANCE_MILLIS) {
            return false;
        }
        differenceMillis = difference;
        return true;
    }
}
