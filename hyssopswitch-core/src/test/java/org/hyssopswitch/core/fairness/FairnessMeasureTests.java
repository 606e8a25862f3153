package org.hyssopswitch.core.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Measures what an account at eight times its rate does to the others, in virtual time and against a single queue. */
class FairnessMeasureTests {

    private static final long SEED = 11;

    @Test
    void anAccountAtEightTimesItsRateBarelyTouchesTheOthers() {
        FairnessSimulation calm =
                FairnessSimulation.run(new FairQueue(), Optional.of(FairnessSimulation.limiter()), 1, SEED);
        FairnessSimulation abused =
                FairnessSimulation.run(new FairQueue(), Optional.of(FairnessSimulation.limiter()), 8, SEED);
        FairnessSimulation unlimited = FairnessSimulation.run(new FairQueue(), Optional.empty(), 8, SEED);
        FairnessSimulation calmSingle = FairnessSimulation.run(new SharedFifoQueue(), Optional.empty(), 1, SEED);
        FairnessSimulation abusedSingle = FairnessSimulation.run(new SharedFifoQueue(), Optional.empty(), 8, SEED);
        print("limiter and deficit round robin", calm, abused);
        print("deficit round robin alone", calm, unlimited);
        print("first come first served", calmSingle, abusedSingle);
        assertEquals(0, abused.refusedOthers());
        assertEquals(0, unlimited.refusedOthers());
        assertTrue(abused.worstP99Ratio(calm) <= 1.25, "ratio " + abused.worstP99Ratio(calm));
        assertTrue(abusedSingle.worstP99Ratio(calmSingle) > 1.25, "the baseline must show the harm");
    }

    private static void print(String name, FairnessSimulation calm, FairnessSimulation abused) {
        System.out.printf(
                "fairness %s: worst p99 of others calm=%.1f ms abused=%.1f ms worst ratio=%.2f refused others=%d%n",
                name, calm.worstP99(), abused.worstP99(), abused.worstP99Ratio(calm), abused.refusedOthers());
    }
}
