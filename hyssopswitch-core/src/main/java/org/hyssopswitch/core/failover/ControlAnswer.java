package org.hyssopswitch.core.failover;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * The answer to a {@link ControlCall}.
 *
 * @param id number of the call
 * @param result how the call ended
 * @param status the endpoint's status after the call; empty when the call failed
 */
public record ControlAnswer(long id, ControlResult result, List<EndpointStatus> status) implements PeerMessage {

    /** Checks that an answered call has one status. */
    public ControlAnswer {
        status = List.copyOf(status);
        int expected = result == ControlResult.FAILED ? 0 : 1;
        if (status.size() != expected) {
            throw new IllegalArgumentException("a call that ended as " + result + " must have " + expected
                    + " statuses, but has " + status.size());
        }
    }
}
