package org.hyssopswitch.core.failover;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Response to a {@link FloorRequest}.
 *
 * @param id number of the request
 * @param floor the confirmed position; empty if none could be confirmed
 */
public record FloorReply(long id, List<LogPosition> floor) implements PeerMessage {

    /** Checks that there is at most one position. */
    public FloorReply {
        floor = List.copyOf(floor);
        if (floor.size() > 1) {
            throw new IllegalArgumentException("a reply must have at most one floor, but has " + floor.size());
        }
    }
}
