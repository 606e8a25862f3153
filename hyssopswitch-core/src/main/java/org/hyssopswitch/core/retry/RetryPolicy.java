package org.hyssopswitch.core.retry;

import org.hyssopswitch.core.failure.Execution;

/**
 * Decides whether a statement is tried again. Confined to one thread.
 *
 * <p>A statement that is not repeatable and may have run is never tried again: its outcome is unknown. Everything else
 * is retried while the deadline, the attempts and the retry budget last.
 */
public final class RetryPolicy {

    /** Attempts per statement, the first included. */
    public static final int DEFAULT_MAX_ATTEMPTS = 4;

    private final int maxAttempts;
    private final RetryBudget budget;
    private final Backoff backoff;

    /**
     * Creates a policy.
     *
     * @param maxAttempts attempts per statement, 1 or more
     * @param budget the budget shared by the statements of this VM
     * @param backoff the delays
     */
    public RetryPolicy(int maxAttempts, RetryBudget budget, Backoff backoff) {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("a statement must have 1 attempt or more, but has " + maxAttempts);
        }
        this.maxAttempts = maxAttempts;
        this.budget = budget;
        this.backoff = backoff;
    }

    /** Counts a statement's first attempt, which earns budget. */
    public void recordFirstAttempt() {
        budget.deposit();
    }

    /**
     * Decides after a failed attempt.
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
