package org.hyssopswitch.core.key;

import io.vavr.control.Option;
import org.hyssopswitch.core.failure.Refusal;

/**
 * Decides whether keys are trusted while the configuration cannot be confirmed to be the latest.
 *
 * @param maxAgeMillis maximum age of the configuration in milliseconds; {@link Long#MAX_VALUE} for no limit
 */
public record StalenessPolicy(long maxAgeMillis) {

    /** Checks the range. */
    public StalenessPolicy {
        if (maxAgeMillis < 1) {
            throw new IllegalArgumentException("maxAgeMillis must be positive, but is " + maxAgeMillis);
        }
    }

    /** Returns a policy that trusts the last known keys at any age. */
    public static StalenessPolicy serveLastKnown() {
        return new StalenessPolicy(Long.MAX_VALUE);
    }

    /**
     * Returns a policy that refuses requests that need a key once the configuration exceeds an age.
     *
     * @param maxAgeMillis maximum age of the configuration in milliseconds
     */
    public static StalenessPolicy refuseBeyond(long maxAgeMillis) {
        return new StalenessPolicy(maxAgeMillis);
    }

    /**
     * Checks the age of the configuration.
     *
     * @param ageMillis milliseconds since the configuration was last confirmed to be the latest
     * @return the refusal; none if keys may be trusted
     */
    public Option<Refusal> check(long ageMillis) {
        return ageMillis > maxAgeMillis ? Option.of(new Refusal.ConfigurationStale(ageMillis)) : Option.none();
    }
}
