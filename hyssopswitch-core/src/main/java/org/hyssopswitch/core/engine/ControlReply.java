package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.position.EndpointStatus;

/**
 * The reply of an endpoint to a control call.
 *
 * @param accepted whether the endpoint carried out the call; if not, the status contains the higher term that it has
 *     accepted
 * @param status the endpoint's status after the call
 */
public record ControlReply(boolean accepted, EndpointStatus status) {}
