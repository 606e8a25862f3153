package org.hyssopswitch.core.configuration;

/**
 * A rate and a burst, which apply to all VMs together.
 *
 * @param perSecond statements per second, more than 0
 * @param burst statements that may be admitted at once, 1 or more
 */
public record Rate(double perSecond, double burst) {

    /** Validates the ranges. */
    public Rate {
        if (!(perSecond > 0) || !(burst >= 1)) {
            throw new IllegalArgumentException(
                    "the rate must be positive and the burst at least 1, but are " + perSecond + " and " + burst);
        }
    }
}
