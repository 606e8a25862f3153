package org.hyssopswitch.standin.platform;

import java.util.List;

/**
 * Settings of the stand-in platform.
 *
 * @param port TCP port on the loopback address; 0 for an ephemeral one
 * @param credentials the credentials that are accepted
 * @param callsPerSecond calls answered in a second, others are throttled; 0 for no bound
 * @param listLagMillis milliseconds after which the list of VMs shows a change
 */
public record PlatformSettings(int port, List<PlatformCredential> credentials, int callsPerSecond, long listLagMillis) {

    /** Checks the ranges and copies the list. */
    public PlatformSettings {
        credentials = List.copyOf(credentials);
        if (port < 0 || port > 65_535) {
            throw new IllegalArgumentException("the port must be between 0 and 65535, but is " + port);
        }
        if (callsPerSecond < 0 || listLagMillis < 0) {
            throw new IllegalArgumentException("callsPerSecond and listLagMillis must not be negative, but are "
                    + callsPerSecond + " and " + listLagMillis);
        }
    }

    /**
     * Settings with an ephemeral port, no bound on calls and no lag.
     *
     * @param credentials the credentials that are accepted
     */
    public static PlatformSettings of(List<PlatformCredential> credentials) {
        return new PlatformSettings(0, credentials, 0, 0);
    }
}
