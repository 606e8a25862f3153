package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IsolationDetectorTests {

    private static final long TICK_MILLIS = 20;

    private int pings;
    private long now;
    private final IsolationDetector detector = new IsolationDetector(() -> pings++, now);

    @Test
    void detectsIsolationWithinASecond() {
        run(1_000, true, false);
        assertTrue(detector.isIsolated());
        assertTrue(pings >= 3, pings + " pings");
    }

    @Test
    void reportsNoIsolationWhileOtherDataCentresRespond() {
        run(5_000, true, true);
        assertFalse(detector.isIsolated());
    }

    @Test
    void reportsNoIsolationWhilePrimariesAreReachable() {
        run(5_000, false, false);
        assertFalse(detector.isIsolated());
        assertEquals(0, pings);
    }

    @Test
    void endsIsolationAsSoonAsAnotherDataCentreResponds() {
        run(2_000, true, false);
        assertTrue(detector.isolatedMillis(now) > 1_000);
        detector.remoteMessageReceived(now);
        run(TICK_MILLIS, true, false);
        assertFalse(detector.isIsolated());
        assertEquals(0, detector.isolatedMillis(now));
    }

    @Test
    void ignoresSilenceFromBeforeTheLossOfThePrimaries() {
        run(5_000, false, false);
        run(400, true, false);
        assertFalse(detector.isIsolated());
    }

    private void run(long millis, boolean primariesLost, boolean othersRespond) {
        for (long until = now + millis; now < until; now += TICK_MILLIS) {
            int before = pings;
            detector.tick(primariesLost, now);
            if (othersRespond && pings > before) {
                detector.remoteMessageReceived(now);
            }
        }
    }
}
