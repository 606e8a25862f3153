package org.hyssopswitch.core.key;

import io.vavr.control.Option;
import org.hyssopswitch.core.failure.Refusal;

/**
 * Whether keys are trusted under a configuration that could not be confirmed for a while.
 *
 * @param maxAgeMillis greatest age in milliseconds; {@link Long#MAX_VALUE} when any age is trusted
 */
public record StalenessPolicy(long maxAgeMillis) {

    /** Checks the range. */
    public StalenessPolicy {
        if (maxAgeMillis < 1) {
            throw new IllegalArgumentException("the greatest age must be positive, but is " + maxAgeMillis);
        }
    }

    /** Trusts the last known keys at any age. */
    public static StalenessPolicy serveLastKnown() {
        return new StalenessPolicy(Long.MAX_VALUE);
    }

    /**
     * Refuses requests that need a key beyond an age.
     *
     * @param maxAgeMillis greatest age in milliseconds
     */
    public static StalenessPolicy refuseBeyond(long maxAgeMillis) {
        return new StalenessPolicy(maxAgeMillis);
    }

    /**
     * Checks the age of the configuration.
     *
     * @param ageMillis milliseconds since the configuration was confirmed to be the latest
     */
    public Option<Refusal> check(long ageMillis) {
        return ageMillis > maxAgeMillis ? Option.of(new Refusal.ConfigurationStale(ageMillis)) : Option.none();
    }
}
