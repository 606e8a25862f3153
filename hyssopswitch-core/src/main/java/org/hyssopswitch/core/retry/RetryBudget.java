package org.hyssopswitch.core.retry;

/**
 * Bounds retries to a fraction of the first attempts, so that a failing endpoint is not loaded further by its callers.
 * Confined to one thread.
 *
 * <p>A first attempt earns a fraction of a token and a retry spends a whole one. The budget starts empty, so at any
 * time the attempts made are at most {@code 1 + ratio} times the first attempts.
 */
public final class RetryBudget {

    /** Retries per first attempt: at most 1.1 attempts per statement. */
    public static final double DEFAULT_RATIO = 0.1;

    /** Retries that may be saved up. */
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
     * @param ratio retries earned by a first attempt, 0 to 1
     * @param maxTokens retries that may be saved up, 1 or more
     */
    public RetryBudget(double ratio, double maxTokens) {
        if (!(ratio >= 0 && ratio <= 1) || !(maxTokens >= 1)) {
            throw new IllegalArgumentException("the retry ratio must lie between 0 and 1 and the saved retries be at"
                    + " least 1, but are " + ratio + " and " + maxTokens);
        }
        this.ratio = ratio;
        this.maxTokens = maxTokens;
    }

    /** Counts a first attempt. */
    public void deposit() {
        tokens = Math.min(maxTokens, tokens + ratio);
    }

    /** Spends a token for a retry; false when there is none. */
    public boolean tryWithdraw() {
        // Sums of a tenth fall short of a whole by rounding.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }
}
