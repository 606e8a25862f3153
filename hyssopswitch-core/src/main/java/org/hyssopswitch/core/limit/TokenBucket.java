package org.hyssopswitch.core.limit;

/** A token bucket that starts empty. Times are milliseconds of one monotonic clock. */
final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Sums of fractions fall short of a whole token by rounding; the shortfall is paid back by the next refill. */
    private static final double ROUNDING = 1e-9;

    private double ratePerSecond;
    private double burst;
    private double tokens;
    private long filledMillis;

    TokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.filledMillis = nowMillis;
    }

    double ratePerSecond() {
        return ratePerSecond;
    }

    double burst() {
        return burst;
    }

    /** Tokens available now. */
    double tokens(long nowMillis) {
        refill(nowMillis);
        return tokens;
    }

    /** Takes one token if there is a whole one. */
    boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1 - ROUNDING) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Changes rate and burst; tokens above the new burst are lost and none are gained. */
    void resize(double newRatePerSecond, double newBurst, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        tokens = Math.min(tokens, burst);
    }

    /** Milliseconds until a whole token will be available, at most {@code maxMillis}. */
    long untilTokenMillis(long nowMillis, long maxMillis) {
        refill(nowMillis);
        if (burst < 1 || ratePerSecond <= 0) {
            return maxMillis;
        }
        double wait = Math.ceil((1 - tokens) * MILLIS_PER_SECOND / ratePerSecond);
        return (long) Math.max(1, Math.min((double) maxMillis, wait));
    }

    private void refill(long nowMillis) {
        if (nowMillis > filledMillis) {
            tokens = Math.min(burst, tokens + ratePerSecond * (nowMillis - filledMillis) / MILLIS_PER_SECOND);
            filledMillis = nowMillis;
        }
    }
}
