package org.hyssopswitch.core.session;

import org.hyssopswitch.core.position.EndpointStatus;

/**
 * The latest known status and load of an endpoint.
 *
 * @param status the latest known status
 * @param measuredMillis time of the monotonic clock at which the status was measured
 * @param load number of statements running or queued at the endpoint's home, plus those this VM has sent there since
 *     the last hint
 */
public record EndpointRow(EndpointStatus status, long measuredMillis, int load) {

    /**
     * Returns the staleness bound of the endpoint's data relative to its primary, in milliseconds: the reported age
     * plus the time since the measurement.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public long dataAgeMillis(long nowMillis) {
        return status.dataAgeMillis() + Math.max(0, nowMillis - measuredMillis);
    }

    EndpointRow withIncrementedLoad() {
        return new EndpointRow(status, measuredMillis, load + 1);
    }

    /**
     * Whether a status replaces this row: a higher accepted term always does, a lower one never, and of equal terms the
     * status measured at the same time or later does.
     */
    boolean isSupersededBy(EndpointStatus other, long otherMeasuredMillis) {
        if (other.acceptedTerm() != status.acceptedTerm()) {
            return other.acceptedTerm() > status.acceptedTerm();
        }
        return otherMeasuredMillis >= measuredMillis;
    }
}
