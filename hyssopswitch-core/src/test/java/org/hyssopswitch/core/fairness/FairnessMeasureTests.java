package org.hyssopswitch.core.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Measures in virtual time how an account at eight times its rate affects the latency of the others, compared with one
 * queue shared by all accounts.
 */
class FairnessMeasureTests {

    private static final long SEED = 11;

    @Test
    void accountAtEightTimesItsRateRaisesP99OfOthersByAtMostAQuarter() {
        FairnessSimulation baseline =
                FairnessSimulation.run(new FairQueue(), Optional.of(FairnessSimulation.limiter()), 1, SEED);
        FairnessSimulation overloaded =
                FairnessSimulation.run(new FairQueue(), Optional.of(FairnessSimulation.limiter()), 8, SEED);
        FairnessSimulation overloadedWithoutLimiter =
                FairnessSimulation.run(new FairQueue(), Optional.empty(), 8, SEED);
        FairnessSimulation fifoBaseline = FairnessSimulation.run(new SharedFifoQueue(), Optional.empty(), 1, SEED);
        FairnessSimulation fifoOverloaded = FairnessSimulation.run(new SharedFifoQueue(), Optional.empty(), 8, SEED);
        print("limiter and deficit round robin", baseline, overloaded);
        print("deficit round robin alone", baseline, overloadedWithoutLimiter);
        print("first come first served", fifoBaseline, fifoOverloaded);
        assertEquals(0, overloaded.refusedOthers());
        assertEquals(0, overloadedWithoutLimiter.refusedOthers());
        assertTrue(overloaded.worstP99Ratio(baseline) <= 1.25, "ratio " + overloaded.worstP99Ratio(baseline));
        assertTrue(fifoOverloaded.worstP99Ratio(fifoBaseline) > 1.25, "the shared queue must exceed the limit");
    }

    private static void print(String name, FairnessSimulation baseline, FairnessSimulation overloaded) {
        System.out.printf(
                "fairness %s: worst p99 of others calm=%.1f ms abused=%.1f ms worst ratio=%.2f refused others=%d%n",
                name,
                baseline.worstP99(),
                overloaded.worstP99(),
                overloaded.worstP99Ratio(baseline),
                overloaded.refusedOthers());
    }
}
