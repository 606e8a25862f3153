package org.hyssopswitch.core.position;

import org.hyssopswitch.core.identity.EndpointId;

/**
 * The status that an endpoint reports.
 *
 * @param endpoint the endpoint
 * @param role the role the endpoint has in its group
 * @param acceptedTerm highest term that the endpoint has accepted; it refuses statements of lower terms
 * @param applied last applied log position, with the term in which it was written
 * @param termStart offset at which the log of the term in {@code applied} began
 * @param contactAgeMillis milliseconds since the last contact with the primary over replication; 0 on a primary
 * @param dataAgeMillis staleness: milliseconds since the endpoint last had all data of its primary; 0 on a primary
 */
public record EndpointStatus(
        EndpointId endpoint,
        EndpointRole role,
        long acceptedTerm,
        LogPosition applied,
        long termStart,
        long contactAgeMillis,
        long dataAgeMillis) {

    /**
     * Whether every acknowledged entry up to a floor is applied at this endpoint.
     *
     * <p>A floor of an older term is covered when the log has reached it or the point where the newer term began:
     * a promotion keeps every acknowledged entry, so a floor beyond that point holds no acknowledged entry of the
     * older term.
     *
     * @param floor the position that must be covered
     */
    public boolean covers(LogPosition floor) {
        if (applied.term() < floor.term()) {
            return false;
        }
        if (applied.term() == floor.term()) {
            return applied.offset() >= floor.offset();
        }
        return applied.offset() >= Math.min(floor.offset(), termStart);
    }
}
