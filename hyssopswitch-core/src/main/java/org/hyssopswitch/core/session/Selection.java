package org.hyssopswitch.core.session;

import org.hyssopswitch.core.identity.EndpointId;

/** The outcome of choosing an endpoint. */
public sealed interface Selection {

    /**
     * Run the statement on this endpoint.
     *
     * @param endpoint the endpoint
     * @param primary whether it was chosen as the primary of its group
     */
    record Use(EndpointId endpoint, boolean primary) implements Selection {}

    /**
     * No endpoint fits yet; ask again later.
     *
     * @param untilMillis time of the monotonic clock at which to ask again
     */
    record Wait(long untilMillis) implements Selection {}

    /**
     * No endpoint will fit before the statement's wait ends.
     *
     * @param retryAfterMillis milliseconds after which a repeat is worth while
     */
    record Unavailable(long retryAfterMillis) implements Selection {}
}
