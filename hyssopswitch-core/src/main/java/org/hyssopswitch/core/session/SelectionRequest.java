package org.hyssopswitch.core.session;

import java.util.Set;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.LogPosition;

/**
 * What a statement needs of its endpoint.
 *
 * @param route the route, which names the database
 * @param floor position that the endpoint must have applied so that the session reads its own writes
 * @param tried endpoints that have failed or refused this statement
 * @param arrivedMillis time of the monotonic clock at which the statement arrived
 */
public record SelectionRequest(RouteDeclaration route, LogPosition floor, Set<EndpointId> tried, long arrivedMillis) {

    /** Copies the set. */
    public SelectionRequest {
        tried = Set.copyOf(tried);
    }
}
