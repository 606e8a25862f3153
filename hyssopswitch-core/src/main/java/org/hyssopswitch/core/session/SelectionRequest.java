package org.hyssopswitch.core.session;

import java.util.Set;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The requirements of a statement on its endpoint.
 *
 * @param route the route, which names the database
 * @param floor log position that the endpoint must have applied so that the session reads its own writes
 * @param tried endpoints that failed or refused this statement, which are not selected again
 * @param arrivedMillis time of the monotonic clock at which the statement arrived
 */
public record SelectionRequest(RouteDeclaration route, LogPosition floor, Set<EndpointId> tried, long arrivedMillis) {

    /** Copies the set. */
    public SelectionRequest {
        tried = Set.copyOf(tried);
    }
}
