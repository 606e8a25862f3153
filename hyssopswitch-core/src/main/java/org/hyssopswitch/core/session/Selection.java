package org.hyssopswitch.core.session;

import org.hyssopswitch.core.identity.EndpointId;

/** The result of selecting an endpoint for a statement. */
public sealed interface Selection {

    /**
     * The statement runs on an endpoint.
     *
     * @param endpoint the endpoint
     * @param primary whether it was selected as the primary of its group
     * @param confirm whether a majority must confirm a read before its result is returned, because the endpoint may
     *     have been replaced as primary
     */
    record Use(EndpointId endpoint, boolean primary, boolean confirm) implements Selection {

        /**
         * Creates a selection in which reads at a primary require confirmation.
         *
         * @param endpoint the endpoint
         * @param primary whether it was selected as the primary of its group
         */
        public Use(EndpointId endpoint, boolean primary) {
            this(endpoint, primary, primary);
        }
    }

    /**
     * No endpoint is eligible yet; the caller selects again later.
     *
     * @param retryAtMillis time of the monotonic clock at which to select again
     */
    record Wait(long retryAtMillis) implements Selection {}

    /**
     * No endpoint became eligible before the statement's wait timed out, or the database is not declared.
     *
     * @param retryAfterMillis delay after which the caller may retry, in milliseconds
     */
    record Unavailable(long retryAfterMillis) implements Selection {}
}
