package org.hyssopswitch.core.limit;

/**
 * A part of a client account's rate and burst.
 *
 * @param rate statements per second, 0 or more
 * @param burst statements, 0 or more
 */
record Amount(double rate, double burst) {

    static final Amount NONE = new Amount(0, 0);

    Amount {
        if (!(rate >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "rate and burst must not be negative, but are " + rate + " and " + burst);
        }
    }

    Amount plus(Amount other) {
        return new Amount(rate + other.rate, burst + other.burst);
    }

    /** The difference; where the other amount is larger, 0. */
    Amount minus(Amount other) {
        return new Amount(Math.max(0, rate - other.rate), Math.max(0, burst - other.burst));
    }

    Amount min(Amount other) {
        return new Amount(Math.min(rate, other.rate), Math.min(burst, other.burst));
    }

    Amount max(Amount other) {
        return new Amount(Math.max(rate, other.rate), Math.max(burst, other.burst));
    }

    Amount times(double factor) {
        return new Amount(rate * factor, burst * factor);
    }

    /** Whether both parts are at most those of the other amount, but for rounding. */
    boolean fits(Amount other) {
        return rate <= other.rate + 1e-9 && burst <= other.burst + 1e-9;
    }
}
