package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.session.EndpointHint;

/**
 * Report about one endpoint that its home sends to the other homes of the group.
 *
 * @param hint the endpoint's last status with its age, and the endpoint's load
 * @param unresponsiveMillis milliseconds for which all status calls to the endpoint have failed; 0 while it responds
 */
public record GroupReport(EndpointHint hint, long unresponsiveMillis) {

    /** Checks the range. */
    public GroupReport {
        if (unresponsiveMillis < 0) {
            throw new IllegalArgumentException("unresponsive time must not be negative, but is " + unresponsiveMillis);
        }
    }
}
