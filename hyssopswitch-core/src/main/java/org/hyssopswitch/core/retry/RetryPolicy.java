package org.hyssopswitch.core.retry;

import org.hyssopswitch.core.failure.Execution;

/**
 * Decides whether a failed statement is retried. Confined to one thread.
 *
 * <p>A statement that is not repeatable and may have run is never retried: its outcome is unknown. Any other
 * statement is retried until its deadline passes or the maximum number of attempts or the retry budget is used up.
 */
public final class RetryPolicy {

    /** Maximum number of attempts per statement, including the first. */
    public static final int DEFAULT_MAX_ATTEMPTS = 4;

    private final int maxAttempts;
    private final RetryBudget budget;
    private final Backoff backoff;

    /**
     * Creates a policy.
     *
     * @param maxAttempts maximum number of attempts per statement, 1 or more
     * @param budget the retry budget, shared by all statements of this VM
     * @param backoff the delays between attempts
     */
    public RetryPolicy(int maxAttempts, RetryBudget budget, Backoff backoff) {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts must be 1 or more, but is " + maxAttempts);
        }
        this.maxAttempts = maxAttempts;
        this.budget = budget;
        this.backoff = backoff;
    }

    /** Records the first attempt of a statement, which adds to the retry budget. */
    public void recordFirstAttempt() {
        budget.deposit();
    }

    /**
     * Decides whether to retry after a failed attempt.
     *
     * @param attempt the attempt
     * @param nowMillis milliseconds of the monotonic clock
     */
    public RetryDecision afterFailure(FailedAttempt attempt, long nowMillis) {
        Execution execution = attempt.mayHaveRun() ? Execution.OUTCOME_UNKNOWN : Execution.NOT_RUN;
        if (attempt.mayHaveRun() && !attempt.repeatable()) {
            return new RetryDecision.Report(execution);
        }
        if (attempt.number() >= maxAttempts) {
            return new RetryDecision.Report(execution);
        }
        long delay = backoff.delayMillis(attempt.number());
        if (attempt.deadline().hasPassed(nowMillis + delay) || !budget.tryWithdraw()) {
            return new RetryDecision.Report(execution);
        }
        return new RetryDecision.Retry(delay);
    }
}
