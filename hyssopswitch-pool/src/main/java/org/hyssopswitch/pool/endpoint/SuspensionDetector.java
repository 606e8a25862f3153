package org.hyssopswitch.pool.endpoint;

import java.util.function.LongSupplier;

/**
 * Tells when the monotonic clock may have stood still.
 *
 * <p>It does not count the time for which a VM is suspended, the time of day does. Each change of the difference between
 * the two is taken for a suspension; that it may have been a step of the time of day costs little.
 */
final class SuspensionDetector {

    /** Difference from which on a suspension is assumed, milliseconds: clocks that are slewed differ by less. */
    private static final long TOLERANCE_MILLIS = 100;

    private final LongSupplier monotonicMillis;
    private final LongSupplier wallClockMillis;
    private long differenceMillis;

    SuspensionDetector(LongSupplier monotonicMillis, LongSupplier wallClockMillis) {
        this.monotonicMillis = monotonicMillis;
        this.wallClockMillis = wallClockMillis;
        this.differenceMillis = wallClockMillis.getAsLong() - monotonicMillis.getAsLong();
    }

    /** Whether the VM may have been suspended since this method last returned true. */
    boolean detectSuspension() {
        long difference = wallClockMillis.getAsLong() - monotonicMillis.getAsLong();
        if (Math.abs(difference - differenceMillis) <= TOLERANCE_MILLIS) {
            return false;
        }
        differenceMillis = difference;
        return true;
    }
}
