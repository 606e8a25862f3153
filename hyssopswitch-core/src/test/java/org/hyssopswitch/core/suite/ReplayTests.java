package org.hyssopswitch.core.suite;

import org.junit.jupiter.api.Test;

/** Replays the run named by the system property {@code hyssop.replay}, or a run without faults. */
class ReplayTests {

    @Test
    void keepsGuaranteesInReplayedRun() {
        SimulationRun.parse(System.getProperty("hyssop.replay", "1:")).runAndAudit();
    }
}
