package org.hyssopswitch.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LinkLivenessTests {

    private final LinkLiveness liveness = new LinkLiveness(0);

    @Test
    void pingsALinkInUseOnceASecond() {
        int pings = 0;
        for (long now = 0; now < 10_000; now += 10) {
            if (liveness.startPing(now)) {
                pings++;
                liveness.pingAnswered();
            }
        }
        assertTrue(pings >= 9 && pings <= 10, pings + " pings in 10 s");
    }

    @Test
    void isSilentOnceAPingHasNotBeenAnsweredForAWhile() {
        assertTrue(liveness.startPing(1_000));
        assertFalse(liveness.isSilent(2_499));
        assertFalse(liveness.startPing(2_400), "one ping at a time");
        assertTrue(liveness.isSilent(2_500));
        liveness.pingAnswered();
        assertFalse(liveness.isSilent(2_600));
    }

    @Test
    void isNotSilentWithoutUse() {
        assertFalse(liveness.isSilent(60_000));
    }
}
