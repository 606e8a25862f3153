package org.hyssopswitch.core.session;

/** Selects the endpoint on which a statement runs. */
public interface EndpointSelector {

    /**
     * Selects an endpoint, or tells the caller to retry later.
     *
     * @param request the statement's requirements
     * @param nowMillis milliseconds of the monotonic clock
     */
    Selection select(SelectionRequest request, long nowMillis);
}
