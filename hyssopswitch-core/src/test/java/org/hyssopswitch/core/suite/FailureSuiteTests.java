package org.hyssopswitch.core.suite;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs every fault on its own and every pair of faults with overlapping windows. */
class FailureSuiteTests {

    private static final long FAULT_BEGIN_MILLIS = 4_000;
    private static final long FAULT_DURATION_MILLIS = 9_000;

    @ParameterizedTest
    @MethodSource("rows")
    void keepsGuaranteesAndAcknowledgesWritesAfterRecovery(SimulationRun run) {
        List<History.WriteAcknowledged> acked = run.runAndAudit().entriesOf(History.WriteAcknowledged.class);
        assertTrue(acked.stream().anyMatch(a -> a.atMillis() > SimulationRun.HEALED_MILLIS), run::toString);
        assertTrue(acked.stream().anyMatch(a -> a.atMillis() < FAULT_BEGIN_MILLIS), run::toString);
    }

    static Stream<SimulationRun> rows() {
        List<SimulationRun> runs = new ArrayList<>();
        Fault[] faults = Fault.values();
        for (int i = 0; i < faults.length; i++) {
            SimulationRun.Window first = new SimulationRun.Window(faults[i], FAULT_BEGIN_MILLIS, FAULT_DURATION_MILLIS);
            runs.add(new SimulationRun(100 + i, List.of(first)));
            for (int j = i + 1; j < faults.length; j++) {
                SimulationRun.Window second =
                        new SimulationRun.Window(faults[j], FAULT_BEGIN_MILLIS + 600, FAULT_DURATION_MILLIS);
                runs.add(new SimulationRun(1_000 + 20 * i + j, List.of(first, second)));
            }
        }
        return runs.stream();
    }
}
