package org.hyssopswitch.core.session;

import org.hyssopswitch.core.position.EndpointStatus;

/**
 * What a home tells others about its endpoint.
 *
 * @param status the endpoint's status
 * @param ageMillis milliseconds since the status was measured, 0 or more
 * @param load statements that run or wait at the home, 0 or more
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
