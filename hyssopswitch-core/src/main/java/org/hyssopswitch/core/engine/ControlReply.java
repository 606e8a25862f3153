package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.position.EndpointStatus;

/**
 * The answer of an endpoint to a control call.
 *
 * @param accepted whether the endpoint did what was asked; a refusal names the higher accepted term in its status
 * @param status the endpoint's status after the call
 */
public record ControlReply(boolean accepted, EndpointStatus status) {}
