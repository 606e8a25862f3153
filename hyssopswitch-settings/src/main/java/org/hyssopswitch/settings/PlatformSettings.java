package org.hyssopswitch.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import java.net.URI;
import org.hyssopswitch.settings.binding.DefaultValue;
import org.hyssopswitch.settings.binding.Secret;

/**
 * How to reach the platform.
 *
 * @param url base URL
 * @param credential bearer credential of the VMs
 * @param callTimeoutMillis milliseconds that a call may take beyond the wait it asked for
 */
public record PlatformSettings(
        URI url, Secret credential, @DefaultValue("2000") @Min(50) @Max(60_000) long callTimeoutMillis) {

    /** Checks the URL. */
    public PlatformSettings {
        if (url.getHost() == null || !("http".equals(url.getScheme()) || "https".equals(url.getScheme()))) {
            throw new IllegalArgumentException("url must be http or https with a host, but is '" + url + "'");
        }
    }
}
