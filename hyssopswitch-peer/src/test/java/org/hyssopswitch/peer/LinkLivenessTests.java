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
    void isSilentSoonAfterAnUnansweredProbe() {
        assertTrue(liveness.startProbe(300));
        assertFalse(liveness.isSilent(449));
        assertTrue(liveness.isSilent(450));
        liveness.pingAnswered();
        assertFalse(liveness.startProbe(500), "a probe must not repeat a recent ping");
        assertFalse(liveness.isSilent(60_000));
    }

    @Test
    void countsAPingThatIsUnansweredAlreadyAsTheProbe() {
        assertTrue(liveness.startPing(1_000));
        assertFalse(liveness.startProbe(1_100));
        assertTrue(liveness.isSilent(1_150));
    }

    @Test
    void isNotSilentWithoutUse() {
        assertFalse(liveness.isSilent(60_000));
    }
}
