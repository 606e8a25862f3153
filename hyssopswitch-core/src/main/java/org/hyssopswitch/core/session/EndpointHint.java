package org.hyssopswitch.core.session;

import org.hyssopswitch.core.position.EndpointStatus;

/**
 * Status and load of an endpoint, as its home sends them to subscribers.
 *
 * @param status the endpoint's status
 * @param ageMillis time since the status was measured, in milliseconds; 0 or more
 * @param load number of statements running or queued at the home; 0 or more
 */
public record EndpointHint(EndpointStatus status, long ageMillis, int load) {

    /** Checks the ranges. */
    public EndpointHint {
        if (ageMillis < 0 || load < 0) {
            throw new IllegalArgumentException(
                    "age and load of a hint must not be negative, but are " + ageMillis + " and " + load);
        }
    }
}
