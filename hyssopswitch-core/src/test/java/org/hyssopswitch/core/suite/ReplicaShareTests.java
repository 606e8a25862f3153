package org.hyssopswitch.core.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reads served by replicas with session floors, against a baseline that ignores floors, from the same seeds. */
class ReplicaShareTests {

    private static final int SEEDS = 5;

    @ParameterizedTest
    @ValueSource(strings = {"", "REPLICA_LAGS@1000+21000"})
    void servesReadsFromReplicasWithoutAStaleAnswer(String faults) {
        List<History> own = runs(faults, Mutation.NONE);
        List<History> baseline = runs(faults, Mutation.IGNORE_FLOOR);
        System.out.println("replica share faults=" + faults + " own: " + describe(own) + " baseline: "
                + describe(baseline) + " runs=" + SEEDS);
        assertEquals(0, violations(own));
        assertTrue(faults.isEmpty() || violations(baseline) > 0);
    }

    private static List<History> runs(String faults, Mutation mutation) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> SuiteRun.parse(seed + ":" + faults).run(mutation))
                .toList();
    }

    private static long violations(List<History> runs) {
        return runs.stream().filter(h -> !Audit.violations(h).isEmpty()).count();
    }

    private static String describe(List<History> runs) {
        List<History.Read> aged = runs.stream()
                .flatMap(h -> h.of(History.Read.class).stream())
                .filter(r -> r.maxAgeMillis() > 0)
                .toList();
        long replica = aged.stream()
                .filter(r -> !r.endpoint().value().equals("e-recife"))
                .count();
        return replica * 100 / aged.size() + "% of " + aged.size() + " aged reads, runs with stale answers "
                + violations(runs);
    }
}
