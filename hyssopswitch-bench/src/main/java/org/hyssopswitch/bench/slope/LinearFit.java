package org.hyssopswitch.bench.slope;

import java.util.List;

/**
 * A line fitted by least squares.
 *
 * @param intercept value at size 0
 * @param slope value for each unit of size
 * @param slopeError standard error of the slope
 * @param residual root mean square of the residuals
 */
public record LinearFit(double intercept, double slope, double slopeError, double residual) {

    /** Sizes needed for a fit with an error. */
    public static final int MIN_SIZES = 3;

    /**
     * Fits a line.
     *
     * @param samples at least three samples of different sizes
     */
    public static LinearFit of(List<Sample> samples) {
        long sizes = samples.stream().mapToDouble(Sample::size).distinct().count();
        if (sizes < MIN_SIZES) {
            throw new IllegalArgumentException("a slope needs " + MIN_SIZES + " sizes or more, but has " + sizes);
        }
        double meanX = samples.stream().mapToDouble(Sample::size).average().orElseThrow();
        double meanY = samples.stream().mapToDouble(Sample::value).average().orElseThrow();
        double xx = 0;
        double xy = 0;
        for (Sample sample : samples) {
            xx += (sample.size() - meanX) * (sample.size() - meanX);
            xy += (sample.size() - meanX) * (sample.value() - meanY);
        }
        double slope = xy / xx;
        double intercept = meanY - slope * meanX;
        double squares = samples.stream()
                .mapToDouble(s -> s.value() - intercept - slope * s.size())
                .map(r -> r * r)
                .sum();
        double error = Math.sqrt(squares / (samples.size() - 2) / xx);
        return new LinearFit(intercept, slope, error, Math.sqrt(squares / samples.size()));
    }

    /** Whether the slope differs from 0 by more than twice its standard error. */
    public boolean grows() {
        return Math.abs(slope) > 2 * slopeError;
    }

    /**
     * The value of the line.
     *
     * @param size the size
     */
    public double at(double size) {
        return intercept + slope * size;
    }
}
