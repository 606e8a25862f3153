package org.hyssopswitch.bench.slope;

import java.util.List;

/**
 * A quantity measured at several sizes.
 *
 * @param id names the slope
 * @param quantity what was measured, with its unit
 * @param per what the size counts
 * @param samples the measured values
 */
public record Slope(String id, String quantity, String per, List<Sample> samples) {

    /** Copies the list and checks that there are enough sizes. */
    public Slope {
        samples = List.copyOf(samples);
        LinearFit.of(samples);
    }

    /** The fitted line. */
    public LinearFit fit() {
        return LinearFit.of(samples);
    }
}
