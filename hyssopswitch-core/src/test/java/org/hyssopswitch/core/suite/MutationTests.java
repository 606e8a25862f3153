package org.hyssopswitch.core.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.hyssopswitch.core.failover.DefaultSuspicionPolicy;
import org.hyssopswitch.core.failover.FailoverSettings;
import org.hyssopswitch.core.failover.RequiredPromotion;
import org.hyssopswitch.core.failover.SuspicionPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the audit detects every deliberately broken mechanism and reports nothing for the same run without the
 * defect.
 */
class MutationTests {

    private static final int SEED_COUNT = 8;

    /** A rank delay of 1 ms makes all promotion coordinators start at once, so that they compete for the same term. */
    private static final FailoverSettings MINIMAL_RANK_DELAY =
            new FailoverSettings(200, 1_000, 300, 800, 1_500, 2_500, 4_000, 1_500, 1);

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ACKNOWLEDGE_WITHOUT_MAJORITY | PRIMARY_CUT_OFF@4000+9000 | acknowledged write lost",
                "UNCONFIRMED_LATEST_READS | PRIMARY_CUT_OFF@4000+9000 | read older than its route accepts",
                "IGNORE_FLOOR | REPLICA_LAGS@4000+9000 | session did not read its own write",
                "GUESS_FLOOR | REPLICA_LAGS@4000+9000 | session did not read its own write",
                "PROMOTE_WITHOUT_FENCING | LOSSY_LINKS@3000+11000 | acknowledged",
                "PROMOTE_LEAST_ADVANCED | REPLICA_LAGS@2000+9000,PRIMARY_CRASHES@4000+9000 | acknowledged write lost",
                "REUSE_TERM | LOSSY_LINKS@3000+12000,STORE_DOWN@3000+12000 | two primaries in one term",
                "ACCEPT_STALE_REPLY | PRIMARY_CUT_OFF@4000+9000 | acknowledged",
                "REPEAT_UNKNOWN_WRITES | PROXY_DIES@4000+1,PROXY_DIES@8000+1 | write committed twice",
                "CLAIM_NOT_RUN | PROXY_DIES@4000+1,PRIMARY_CRASHES@7000+5000 | write said not to have run has run",
                "IGNORE_LEAVING | PRIMARY_LEAVES@4000+9000 | leaving endpoint got work"
            })
    void findsABrokenMechanism(ProtocolMutation mutation, String faults, String violation) {
        List<SimulationRun> runs = LongStream.rangeClosed(1, SEED_COUNT)
                .mapToObj(seed -> SimulationRun.parse(seed + ":" + faults))
                .toList();
        SimulationRun detectingRun = runs.stream()
                .filter(r -> findViolations(r, mutation, mutation).stream().anyMatch(v -> v.contains(violation)))
                .findFirst()
                .orElseThrow(() ->
                        new AssertionError("the audit detected no violation in " + SEED_COUNT + " seeds: " + mutation));
        assertEquals(List.of(), findViolations(detectingRun, mutation, ProtocolMutation.NONE));
    }

    /** Runs with the policy and settings under which the mechanism takes effect, whether or not it is broken. */
    private static List<String> findViolations(SimulationRun run, ProtocolMutation mechanism, ProtocolMutation broken) {
        FailoverSettings settings =
                mechanism == ProtocolMutation.REUSE_TERM ? MINIMAL_RANK_DELAY : FailoverSettings.DEFAULT;
        SuspicionPolicy policy =
                switch (mechanism) {
                    case PROMOTE_WITHOUT_FENCING -> policySuspectingHealthyPrimary(RequiredPromotion.REPLACE);
                    case REUSE_TERM -> policySuspectingHealthyPrimary(RequiredPromotion.REPAIR);
                    default -> new DefaultSuspicionPolicy(settings);
                };
        return Audit.findViolations(run.run(broken, policy, settings));
    }

    private static SuspicionPolicy policySuspectingHealthyPrimary(RequiredPromotion required) {
        return (database, table, now) ->
                now > 5_000 && now < 14_000 && now % 2_000 < 800 ? required : RequiredPromotion.NONE;
    }
}
