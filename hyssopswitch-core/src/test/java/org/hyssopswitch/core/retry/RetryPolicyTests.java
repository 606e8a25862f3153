package org.hyssopswitch.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hyssopswitch.core.failure.Execution;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTests {

    private static final Deadline DISTANT_DEADLINE = new Deadline(1_000_000);

    @ParameterizedTest
    @CsvSource({
        "1, false, true, report, OUTCOME_UNKNOWN",
        "1, false, false, retry, NOT_RUN",
        "1, true, true, retry, NOT_RUN",
        "4, true, true, report, OUTCOME_UNKNOWN",
        "4, true, false, report, NOT_RUN"
    })
    void retriesOnlyRepeatableOrUnexecutedStatements(
            int number, boolean repeatable, boolean mayHaveRun, String expected, Execution execution) {
        RetryDecision decision =
                policy(100).afterFailure(new FailedAttempt(number, repeatable, mayHaveRun, DISTANT_DEADLINE), 0);
        if (expected.equals("retry")) {
            assertInstanceOf(RetryDecision.Retry.class, decision);
        } else {
            assertEquals(new RetryDecision.Report(execution), decision);
        }
    }

    @Test
    void reportsFailureWhenDelayWouldExceedDeadline() {
        FailedAttempt attempt = new FailedAttempt(1, true, false, new Deadline(1));
        assertEquals(new RetryDecision.Report(Execution.NOT_RUN), policy(100).afterFailure(attempt, 0));
    }

    @Property(seed = "991466")
    void limitsAttemptsToElevenTenthsOfStatements(@ForAll @IntRange(min = 1, max = 2_000) int statements) {
        RetryPolicy policy = policy(0);
        int attempts = 0;
        for (int i = 0; i < statements; i++) {
            policy.recordFirstAttempt();
            attempts++;
            int number = 1;
            while (policy.afterFailure(new FailedAttempt(number, true, true, DISTANT_DEADLINE), 0)
                    instanceof RetryDecision.Retry) {
                number++;
                attempts++;
            }
            assertTrue(attempts <= 1.1 * (i + 1) + 1e-6, "attempts " + attempts + " for " + (i + 1));
        }
    }

    @Property(seed = "505680")
    void jittersDelaysWithinTheirBounds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int retry) {
        long delay = new Backoff(10, 1_000, new SplittableRandom(seed)).delayMillis(retry);
        double bound = Math.min(1_000, 10 * Math.pow(2, retry - 1));
        assertTrue(delay >= Math.floor(bound / 2) && delay <= bound, "delay " + delay + " bound " + bound);
    }

    private static RetryPolicy policy(int firstAttempts) {
        RetryPolicy policy =
                new RetryPolicy(4, new RetryBudget(), new Backoff(10, 1_000, new SplittableRandom(firstAttempts)));
        for (int i = 0; i < firstAttempts; i++) {
            policy.recordFirstAttempt();
        }
        return policy;
    }
}
