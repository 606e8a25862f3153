package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;

/** Kind of a control call that one VM forwards to the home of an endpoint. */
public enum ControlKind {
    /** {@link ControlRequest.Status}. */
    STATUS,
    /** {@link ControlRequest.Fence}. */
    FENCE,
    /** {@link ControlRequest.Promote}. */
    PROMOTE,
    /** {@link ControlRequest.Follow}. */
    FOLLOW,
    /** {@link ControlRequest.AwaitPosition}. */
    AWAIT;

    /** Creates the request of this kind from the fields of a message. */
    ControlRequest request(long term, long offset, String argument) {
        return switch (this) {
            case STATUS -> new ControlRequest.Status();
            case FENCE -> new ControlRequest.Fence(term, argument);
            case PROMOTE -> new ControlRequest.Promote(term, argument);
            case FOLLOW -> new ControlRequest.Follow(term, new EndpointId(argument));
            case AWAIT -> new ControlRequest.AwaitPosition(term, offset);
        };
    }
}
