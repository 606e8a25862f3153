package org.hyssopswitch.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import org.hyssopswitch.core.key.StalenessPolicy;
import org.hyssopswitch.settings.binding.DefaultValue;

/**
 * What happens to keys when the configuration cannot be confirmed.
 *
 * @param whenStale {@code serve} on the last known keys, or {@code refuse} beyond the age
 * @param maxAgeMillis age in milliseconds beyond which {@code refuse} applies
 */
public record KeySettings(
        @DefaultValue("serve") WhenStale whenStale,
        @DefaultValue("300000") @Min(15_000) @Max(86_400_000) long maxAgeMillis) {

    /** The policy that these settings declare. */
    public StalenessPolicy policy() {
        return whenStale == WhenStale.SERVE
                ? StalenessPolicy.serveLastKnown()
                : StalenessPolicy.refuseBeyond(maxAgeMillis);
    }

    /** What to do with requests under a configuration that is too old. */
    public enum WhenStale {
        /** Go on serving on the last known keys. */
        SERVE,
        /** Refuse requests that need a key. */
        REFUSE
    }
}
