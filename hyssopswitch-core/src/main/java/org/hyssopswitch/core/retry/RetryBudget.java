package org.hyssopswitch.core.retry;

/**
 * Limits retries to a fraction of the first attempts, so that retries do not add to the load of a failing endpoint.
 * Confined to one thread.
 *
 * <p>A first attempt deposits a fraction of a token and a retry withdraws a whole one. The budget starts empty, so at
 * any time the total number of attempts is at most {@code 1 + ratio} times the number of first attempts.
 */
public final class RetryBudget {

    /** Tokens deposited by a first attempt; allows at most 1.1 attempts per statement. */
    public static final double DEFAULT_RATIO = 0.1;

    /** Maximum number of tokens that the budget accumulates. */
    public static final double DEFAULT_MAX_TOKENS = 50;

    private final double ratio;
    private final double maxTokens;
    private double tokens;

    /** Creates a budget with the default bounds. */
    public RetryBudget() {
        this(DEFAULT_RATIO, DEFAULT_MAX_TOKENS);
    }

    /**
     * Creates a budget.
     *
     * @param ratio tokens deposited by a first attempt, 0 to 1
     * @param maxTokens maximum number of tokens that the budget accumulates, 1 or more
     */
    public RetryBudget(double ratio, double maxTokens) {
        if (!(ratio >= 0 && ratio <= 1) || !(maxTokens >= 1)) {
            throw new IllegalArgumentException("the retry ratio must be between 0 and 1 and the maximum of tokens at"
                    + " least 1, but they are " + ratio + " and " + maxTokens);
        }
        this.ratio = ratio;
        this.maxTokens = maxTokens;
    }

    /** Deposits the tokens of a first attempt. */
    public void deposit() {
        tokens = Math.min(maxTokens, tokens + ratio);
    }

    /** Withdraws a token for a retry; returns false if there is none. */
    public boolean tryWithdraw() {
        // Ten deposits of 0.1 add up to slightly less than 1 in floating-point arithmetic.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }
}
