package org.hyssopswitch.core.limit;

/**
 * A part of a client account's rate and burst.
 *
 * @param rate statements per second, 0 or more
 * @param burst tokens, 0 or more
 */
record RateShare(double rate, double burst) {

    static final RateShare NONE = new RateShare(0, 0);

    RateShare {
        if (!(rate >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "rate and burst must not be negative, but are " + rate + " and " + burst);
        }
    }

    RateShare plus(RateShare other) {
        return new RateShare(rate + other.rate, burst + other.burst);
    }

    /** Subtracts rate and burst separately; neither result is less than 0. */
    RateShare minus(RateShare other) {
        return new RateShare(Math.max(0, rate - other.rate), Math.max(0, burst - other.burst));
    }

    RateShare min(RateShare other) {
        return new RateShare(Math.min(rate, other.rate), Math.min(burst, other.burst));
    }

    RateShare max(RateShare other) {
        return new RateShare(Math.max(rate, other.rate), Math.max(burst, other.burst));
    }

    RateShare times(double factor) {
        return new RateShare(rate * factor, burst * factor);
    }

    /** Whether neither rate nor burst exceeds that of the other share, apart from rounding errors. */
    boolean fitsWithin(RateShare other) {
        return rate <= other.rate + 1e-9 && burst <= other.burst + 1e-9;
    }
}
