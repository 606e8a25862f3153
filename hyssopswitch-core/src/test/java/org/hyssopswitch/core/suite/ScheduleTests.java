package org.hyssopswitch.core.suite;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/** Runs generated schedules of up to six faults, which may overlap and repeat. */
class ScheduleTests {

    private static final long LAST_BEGIN_MILLIS = 10_000;
    private static final long MAX_DURATION_MILLIS = 6_000;

    @Property(seed = "101678", tries = 60, shrinking = ShrinkingMode.OFF)
    void keepsGuaranteesUnderAnySchedule(@ForAll("runs") SimulationRun run) {
        List<History.WriteAcknowledged> acked = run.runAndAudit().entriesOf(History.WriteAcknowledged.class);
        assertTrue(acked.stream().anyMatch(a -> a.atMillis() > SimulationRun.HEALED_MILLIS), run::toString);
    }

    @Provide
    Arbitrary<SimulationRun> runs() {
        Arbitrary<SimulationRun.Window> window = Combinators.combine(
                        Arbitraries.of(Fault.class),
                        Arbitraries.longs().between(1_000, LAST_BEGIN_MILLIS),
                        Arbitraries.longs().between(50, MAX_DURATION_MILLIS))
                .as(SimulationRun.Window::new);
        Arbitrary<List<SimulationRun.Window>> windows =
                window.list().ofMinSize(1).ofMaxSize(6);
        return Combinators.combine(Arbitraries.longs().between(1, 1L << 40), windows)
                .as(SimulationRun::new);
    }
}
