package org.hyssopswitch.bench.slope;

/**
 * A measured value at one size.
 *
 * @param size the size, in the unit that the slope is per
 * @param value the value
 */
public record Sample(double size, double value) {

    /** Checks that both are numbers. */
    public Sample {
        if (!Double.isFinite(size) || !Double.isFinite(value)) {
            throw new IllegalArgumentException("a sample must be finite, but is " + size + " and " + value);
        }
    }
}
