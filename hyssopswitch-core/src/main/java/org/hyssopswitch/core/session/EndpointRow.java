package org.hyssopswitch.core.session;

import org.hyssopswitch.core.position.EndpointStatus;

/**
 * A row of the endpoint table.
 *
 * @param status the last known status
 * @param measuredMillis time of the monotonic clock at which the status was measured
 * @param load statements that run or wait at the endpoint's home, including those sent there since
 */
public record EndpointRow(EndpointStatus status, long measuredMillis, int load) {

    /**
     * Milliseconds for which the endpoint may have missed data of its primary.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public long dataAgeMillis(long nowMillis) {
        return status.dataAgeMillis() + Math.max(0, nowMillis - measuredMillis);
    }

    EndpointRow withIncrementedLoad() {
        return new EndpointRow(status, measuredMillis, load + 1);
    }

    /** Whether a status measured later says the same or more than this row; a lower accepted term never does. */
    boolean isSupersededBy(EndpointStatus other, long otherMeasuredMillis) {
        if (other.acceptedTerm() != status.acceptedTerm()) {
            return other.acceptedTerm() > status.acceptedTerm();
        }
        return otherMeasuredMillis >= measuredMillis;
    }
}
