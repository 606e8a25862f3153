package org.hyssopswitch.core.limit;

/** A token bucket that starts empty. Times are milliseconds of one monotonic clock. */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Sums of fractions fall short of a whole token by rounding; the shortfall is paid back by the next refill. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private double ratePerSecond;
    private double burst;
    private double tokens;
    private double reservedTokens;
    private long refilledMillis;

    /**
     * Creates an empty bucket.
     *
     * @param ratePerSecond tokens a second, 0 or more
     * @param burst tokens that it holds at most
     * @param nowMillis milliseconds of the monotonic clock
     */
    public TokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.refilledMillis = nowMillis;
    }

    double ratePerSecond() {
        return ratePerSecond;
    }

    /** Tokens that it holds at most. */
    public double burst() {
        return burst;
    }

    /**
     * Tokens available now.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public double tokens(long nowMillis) {
        refill(nowMillis);
        return tokens;
    }

    /**
     * Takes one token if there is a whole one.
     *
     * @param nowMillis milliseconds of the monotonic clock
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
     * Adds tokens that another bucket gave up; those above the burst are lost.
     *
     * @param amount number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void deposit(double amount, long nowMillis) {
        deposit(amount, burst, nowMillis);
    }

    /**
     * Adds tokens that another bucket gave up, beyond the burst if need be; those above a limit are lost.
     *
     * @param amount number of tokens
     * @param limit tokens that the bucket may hold after it
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void deposit(double amount, double limit, long nowMillis) {
        refill(nowMillis);
        tokens = Math.max(tokens, Math.min(limit, tokens + amount));
    }

    /**
     * Takes up to a number of tokens to hand them to another bucket.
     *
     * @param wanted number of tokens
     * @param nowMillis milliseconds of the monotonic clock
     */
    public double withdraw(double wanted, long nowMillis) {
        refill(nowMillis);
        double taken = Math.max(0, Math.min(wanted, tokens));
        tokens -= taken;
        return taken;
    }

    /** Keeps room free for tokens that are on their way, which must not be filled meanwhile; returns the room. */
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

    /** Gives up the burst that a bucket without a rate has used. */
    void releaseUsedBurst(long nowMillis) {
        if (ratePerSecond <= 0) {
            resize(0, Math.max(0, tokens), nowMillis);
        }
    }

    /**
     * Changes rate and burst; tokens above the new burst are lost and none are gained.
     *
     * @param newRatePerSecond tokens a second, 0 or more
     * @param newBurst tokens that it holds at most
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void resize(double newRatePerSecond, double newBurst, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        tokens = Math.min(tokens, burst);
    }

    /**
     * Milliseconds until a whole token will be available.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param maxMillis the longest wait to return
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
