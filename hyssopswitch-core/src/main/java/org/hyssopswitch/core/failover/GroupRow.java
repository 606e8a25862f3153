package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * Row of the {@link GroupTable}: the last report about one endpoint.
 *
 * @param status the endpoint's last status
 * @param unresponsiveMillis milliseconds for which status calls had failed when the report was created; 0 if the
 *     endpoint responded
 * @param receivedMillis time of the monotonic clock at which the report arrived
 * @param roleSinceMillis time of the monotonic clock since which reports show the endpoint in this role and term
 */
public record GroupRow(EndpointStatus status, long unresponsiveMillis, long receivedMillis, long roleSinceMillis) {

    /**
     * Whether the report arrived recently and the endpoint was responsive when it was created.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param maxAgeMillis maximum age of the report
     */
    public boolean isFresh(long nowMillis, long maxAgeMillis) {
        return unresponsiveMillis == 0 && nowMillis - receivedMillis <= maxAgeMillis;
    }

    /** Whether the endpoint reported itself as a primary. */
    public boolean isPrimary() {
        return status.role() == EndpointRole.PRIMARY;
    }

    boolean hasSameRoleAndTerm(EndpointStatus other) {
        return status.role() == other.role() && status.acceptedTerm() == other.acceptedTerm();
    }
}
