package org.hyssopswitch.standin.group;

import org.hyssopswitch.core.identity.EndpointId;

/**
 * An endpoint and its port on the loopback address.
 *
 * @param id the endpoint
 * @param port TCP port; 0 for an ephemeral one
 */
public record EndpointAddress(EndpointId id, int port) {

    /** Checks the port. */
    public EndpointAddress {
        if (port < 0 || port > 65_535) {
            throw new IllegalArgumentException(
                    "the port of endpoint " + id + " must be between 0 and 65535, but is " + port);
        }
    }
}
