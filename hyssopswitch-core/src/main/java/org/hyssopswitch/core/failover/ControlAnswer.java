package org.hyssopswitch.core.failover;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * Response to a {@link ControlCall}.
 *
 * @param id number of the call
 * @param result the result of the call
 * @param status the endpoint's status after the call; empty if the call failed
 */
public record ControlAnswer(long id, ControlResult result, List<EndpointStatus> status) implements PeerMessage {

    /** Checks that there is exactly one status, or none if the call failed. */
    public ControlAnswer {
        status = List.copyOf(status);
        int expected = result == ControlResult.FAILED ? 0 : 1;
        if (status.size() != expected) {
            throw new IllegalArgumentException(
                    "a call with result " + result + " must have " + expected + " statuses, but has " + status.size());
        }
    }
}
