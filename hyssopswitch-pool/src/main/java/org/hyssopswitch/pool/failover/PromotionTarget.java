package org.hyssopswitch.pool.failover;

import java.util.Objects;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * The endpoint that is to become the primary.
 *
 * @param endpoint the endpoint
 * @param latestTerm highest term that the endpoints of the group reported when the target was selected; -1 if none did
 */
record PromotionTarget(Endpoint endpoint, long latestTerm) {

    /** Checks that there is an endpoint. */
    PromotionTarget {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
