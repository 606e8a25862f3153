package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Message that acknowledges a heartbeat, or reports that the target of an indirect probe has acknowledged one.
 *
 * @param sequence number of the heartbeat or of the probe request
 * @param updates gossiped updates about members, bounded in number
 */
public record MembershipAck(long sequence, List<MemberUpdate> updates) implements PeerMessage {

    /** Copies the list. */
    public MembershipAck {
        updates = List.copyOf(updates);
    }
}
