package org.hyssopswitch.core.session;

import org.hyssopswitch.core.identity.EndpointId;

/** The outcome of choosing an endpoint. */
public sealed interface Selection {

    /**
     * Run the statement on this endpoint.
     *
     * @param endpoint the endpoint
     * @param primary whether it was chosen as the primary of its group
     * @param confirm whether a majority must confirm a read before it is answered, because the endpoint may have been
     *     replaced as the primary
     */
    record Use(EndpointId endpoint, boolean primary, boolean confirm) implements Selection {

        /**
         * Uses an endpoint; reads at a primary are confirmed.
         *
         * @param endpoint the endpoint
         * @param primary whether it was chosen as the primary of its group
         */
        public Use(EndpointId endpoint, boolean primary) {
            this(endpoint, primary, primary);
        }
    }

    /**
     * No endpoint fits yet; ask again later.
     *
     * @param retryAtMillis time of the monotonic clock at which to ask again
     */
    record Wait(long retryAtMillis) implements Selection {}

    /**
     * No endpoint will fit before the statement's wait ends.
     *
     * @param retryAfterMillis milliseconds after which a repeat is worth while
     */
    record Unavailable(long retryAfterMillis) implements Selection {}
}
