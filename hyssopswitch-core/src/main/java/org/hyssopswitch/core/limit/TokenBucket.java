package org.hyssopswitch.core.limit;

/** A token bucket that starts empty. All times are milliseconds of one monotonic clock. */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Rounding errors can leave a sum of fractions just short of a whole token; the next refill makes up the
     * difference.
     */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private double ratePerSecond;
    private double burst;
    private double tokens;
    private double reservedTokens;
    private long refilledMillis;

    /**
     * Creates an empty bucket.
     *
     * @param ratePerSecond tokens per second, 0 or more
     * @param burst maximum number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     */
    public TokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.refilledMillis = nowMillis;
    }

    /** Returns the rate, tokens per second. */
    public double ratePerSecond() {
        return ratePerSecond;
    }

    /** Returns the maximum number of tokens. */
    public double burst() {
        return burst;
    }

    /**
     * Returns the number of tokens available now.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public double tokens(long nowMillis) {
        refill(nowMillis);
        return tokens;
    }

    /**
     * Takes one token if a whole one is available.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @return whether a token was taken
     */
    public boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1 - ROUNDING_TOLERANCE) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Adds tokens withdrawn from another bucket; those above the burst are lost.
     *
     * @param amount number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void deposit(double amount, long nowMillis) {
        deposit(amount, burst, nowMillis);
    }

    /**
     * Adds tokens withdrawn from another bucket, if necessary beyond the burst; those above the limit are lost.
     *
     * @param amount number of tokens
     * @param limit maximum number of tokens in the bucket after the deposit
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void deposit(double amount, double limit, long nowMillis) {
        refill(nowMillis);
        tokens = Math.max(tokens, Math.min(limit, tokens + amount));
    }

    /**
     * Takes up to the wanted number of tokens, to deposit them in another bucket.
     *
     * @param wanted number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     * @return the number of tokens taken
     */
    public double withdraw(double wanted, long nowMillis) {
        refill(nowMillis);
        double taken = Math.max(0, Math.min(wanted, tokens));
        tokens -= taken;
        return taken;
    }

    /** Reserves room for tokens in flight, which refills leave free, and returns the room reserved. */
    double reserve(double room, long nowMillis) {
        refill(nowMillis);
        reservedTokens = Math.max(0, Math.min(room, burst - tokens));
        return reservedTokens;
    }

    /** Ends a reservation. */
    void endReservation(long nowMillis) {
        refill(nowMillis);
        reservedTokens = 0;
    }

    /** Lowers the burst of a bucket without a rate to the tokens left in it. */
    void releaseUsedBurst(long nowMillis) {
        if (ratePerSecond <= 0) {
            resize(0, Math.max(0, tokens), nowMillis);
        }
    }

    /**
     * Changes rate and burst. Tokens above the new burst are lost; a larger burst adds none.
     *
     * @param newRatePerSecond tokens per second, 0 or more
     * @param newBurst maximum number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void resize(double newRatePerSecond, double newBurst, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        tokens = Math.min(tokens, burst);
    }

    /**
     * Returns the milliseconds until a whole token is available.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param maxMillis maximum value to return, also returned when the bucket can never hold a whole token
     */
    public long millisUntilToken(long nowMillis, long maxMillis) {
        refill(nowMillis);
        if (burst < 1 || ratePerSecond <= 0) {
            return maxMillis;
        }
        double wait = Math.ceil((1 - tokens) * MILLIS_PER_SECOND / ratePerSecond);
        return (long) Math.max(1, Math.min((double) maxMillis, wait));
    }

    private void refill(long nowMillis) {
        if (nowMillis > refilledMillis) {
            double filled = tokens + ratePerSecond * (nowMillis - refilledMillis) / MILLIS_PER_SECOND;
            tokens = Math.max(tokens, Math.min(burst - reservedTokens, filled));
            refilledMillis = nowMillis;
        }
    }
}
