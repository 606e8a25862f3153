package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * A row of the group table: the last report about one endpoint of a group that this VM takes part in.
 *
 * @param status the endpoint's last status
 * @param unresponsiveMillis milliseconds for which status calls had failed when the report was made
 * @param receivedMillis time of the monotonic clock at which the report arrived
 * @param roleSinceMillis time of the monotonic clock since which the endpoint is known in this role and term
 */
public record GroupRow(EndpointStatus status, long unresponsiveMillis, long receivedMillis, long roleSinceMillis) {

    /**
     * Whether the report arrived recently and the endpoint answered its home then.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param maxAgeMillis age up to which a report counts
     */
    public boolean isFresh(long nowMillis, long maxAgeMillis) {
        return unresponsiveMillis == 0 && nowMillis - receivedMillis <= maxAgeMillis;
    }

    /** Whether the endpoint was a primary. */
    public boolean isPrimary() {
        return status.role() == EndpointRole.PRIMARY;
    }

    boolean hasSameRoleAndTerm(EndpointStatus other) {
        return status.role() == other.role() && status.acceptedTerm() == other.acceptedTerm();
    }
}
