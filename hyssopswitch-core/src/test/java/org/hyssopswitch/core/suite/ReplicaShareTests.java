package org.hyssopswitch.core.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the share of reads that replicas serve under session floors with a baseline that ignores floors, for the
 * same seeds.
 */
class ReplicaShareTests {

    private static final int SEED_COUNT = 5;

    @ParameterizedTest
    @ValueSource(strings = {"", "REPLICA_LAGS@1000+21000"})
    void servesReadsFromReplicasWithoutAStaleAnswer(String faults) {
        List<History> defaultRuns = runs(faults, ProtocolMutation.NONE);
        List<History> baselineRuns = runs(faults, ProtocolMutation.IGNORE_FLOOR);
        System.out.println("replica share faults=" + faults + " session floors: " + describe(defaultRuns)
                + " baseline: " + describe(baselineRuns) + " runs=" + SEED_COUNT);
        assertEquals(0, countRunsWithViolations(defaultRuns));
        assertTrue(faults.isEmpty() || countRunsWithViolations(baselineRuns) > 0);
    }

    private static List<History> runs(String faults, ProtocolMutation mutation) {
        return LongStream.rangeClosed(1, SEED_COUNT)
                .mapToObj(seed -> SimulationRun.parse(seed + ":" + faults).run(mutation))
                .toList();
    }

    private static long countRunsWithViolations(List<History> runs) {
        return runs.stream().filter(h -> !Audit.findViolations(h).isEmpty()).count();
    }

    private static String describe(List<History> runs) {
        List<History.ReadCompleted> boundedReads = runs.stream()
                .flatMap(h -> h.entriesOf(History.ReadCompleted.class).stream())
                .filter(r -> r.maxAgeMillis() > 0)
                .toList();
        long replicaReads = boundedReads.stream()
                .filter(r -> !r.endpoint().value().equals("e-recife"))
                .count();
        return replicaReads * 100 / boundedReads.size() + "% of " + boundedReads.size()
                + " bounded-staleness reads, runs with violations " + countRunsWithViolations(runs);
    }
}
