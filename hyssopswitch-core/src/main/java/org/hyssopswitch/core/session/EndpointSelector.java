package org.hyssopswitch.core.session;

/** Chooses the endpoint that serves a statement. */
public interface EndpointSelector {

    /**
     * Chooses an endpoint.
     *
     * @param request the statement's needs
     * @param nowMillis milliseconds of the monotonic clock
     */
    Selection select(SelectionRequest request, long nowMillis);
}
