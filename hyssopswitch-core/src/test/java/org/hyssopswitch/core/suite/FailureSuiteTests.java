package org.hyssopswitch.core.suite;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every row of the table of failures alone, and every pair of rows together. */
class FailureSuiteTests {

    private static final long BEGIN_MILLIS = 4_000;
    private static final long DURATION_MILLIS = 9_000;

    @ParameterizedTest
    @MethodSource("rows")
    void keepsThePromisesAndAcknowledgesWritesAgainAfterwards(SuiteRun run) {
        List<History.Acked> acked = run.check().of(History.Acked.class);
        assertTrue(acked.stream().anyMatch(a -> a.atMillis() > SuiteRun.HEALED_MILLIS), run::toString);
        assertTrue(acked.stream().anyMatch(a -> a.atMillis() < BEGIN_MILLIS), run::toString);
    }

    static Stream<SuiteRun> rows() {
        List<SuiteRun> runs = new ArrayList<>();
        Fault[] faults = Fault.values();
        for (int i = 0; i < faults.length; i++) {
            SuiteRun.Window first = new SuiteRun.Window(faults[i], BEGIN_MILLIS, DURATION_MILLIS);
            runs.add(new SuiteRun(100 + i, List.of(first)));
            for (int j = i + 1; j < faults.length; j++) {
                SuiteRun.Window second = new SuiteRun.Window(faults[j], BEGIN_MILLIS + 600, DURATION_MILLIS);
                runs.add(new SuiteRun(1_000 + 20 * i + j, List.of(first, second)));
            }
        }
        return runs.stream();
    }
}
