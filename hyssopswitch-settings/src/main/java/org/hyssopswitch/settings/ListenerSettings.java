package org.hyssopswitch.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.Pattern;

/**
 * The address of a listener.
 *
 * @param host IP address
 * @param port TCP port; 0 for any free one
 */
public record ListenerSettings(
        @Pattern(regexp = ADDRESS, message = "must be an IP address") String host, @Min(0) @Max(65_535) int port) {

    /** Form of an IPv4 or IPv6 address. */
    static final String ADDRESS = "(\\d{1,3}\\.){3}\\d{1,3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*";
}
