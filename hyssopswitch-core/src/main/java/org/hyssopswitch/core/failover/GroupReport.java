package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.session.EndpointHint;

/**
 * What the home of an endpoint tells the other homes of its group.
 *
 * @param hint the endpoint's last status, its age and load
 * @param unresponsiveMillis milliseconds for which all status calls to the endpoint have failed; 0 while it answers
 */
public record GroupReport(EndpointHint hint, long unresponsiveMillis) {

    /** Checks the range. */
    public GroupReport {
        if (unresponsiveMillis < 0) {
            throw new IllegalArgumentException("silence must not be negative, but is " + unresponsiveMillis);
        }
    }
}
