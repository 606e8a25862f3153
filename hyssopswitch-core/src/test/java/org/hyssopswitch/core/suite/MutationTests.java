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

/** The audit finds every mechanism that is broken on purpose, and nothing when the same run is not broken. */
class MutationTests {

    private static final int SEEDS = 8;

    /** All orderers begin at once, so that they meet in one term. */
    private static final FailoverSettings HASTY =
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
    void findsABrokenMechanism(Mutation mutation, String faults, String promise) {
        List<SuiteRun> runs = LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> SuiteRun.parse(seed + ":" + faults))
                .toList();
        SuiteRun caught = runs.stream()
                .filter(r -> violations(r, mutation, mutation).stream().anyMatch(v -> v.contains(promise)))
                .findFirst()
                .orElseThrow(() -> new AssertionError("not found in " + SEEDS + " seeds: " + mutation));
        assertEquals(List.of(), violations(caught, mutation, Mutation.NONE));
    }

    /** Runs with the policy and times under which the mechanism of a mutation matters, broken or not. */
    private static List<String> violations(SuiteRun run, Mutation mechanism, Mutation broken) {
        FailoverSettings settings = mechanism == Mutation.REUSE_TERM ? HASTY : FailoverSettings.DEFAULT;
        SuspicionPolicy policy =
                switch (mechanism) {
                    case PROMOTE_WITHOUT_FENCING -> suspectingHealthyPrimary(RequiredPromotion.REPLACE);
                    case REUSE_TERM -> suspectingHealthyPrimary(RequiredPromotion.REPAIR);
                    default -> new DefaultSuspicionPolicy(settings);
                };
        return Audit.violations(run.run(broken, policy, settings));
    }

    private static SuspicionPolicy suspectingHealthyPrimary(RequiredPromotion required) {
        return (database, table, now) ->
                now > 5_000 && now < 14_000 && now % 2_000 < 800 ? required : RequiredPromotion.NONE;
    }
}
