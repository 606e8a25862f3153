package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The routing decision for a cycle.
 *
 * @param account client account to which the cycle is charged
 * @param database the database
 * @param endpoint the endpoint
 * @param reader whether to run as the read-only user, whose writes the endpoint refuses
 * @param latest whether the answer must be confirmed as the latest by a majority of the group
 * @param floor lowest log position that the endpoint must have applied
 * @param remainingMillis milliseconds left until the statement's deadline
 */
public record CycleRouting(
        ClientAccountId account,
        DatabaseId database,
        EndpointId endpoint,
        boolean reader,
        boolean latest,
        LogPosition floor,
        long remainingMillis) {}
