package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Acknowledges a heartbeat or reports that an indirect probe was answered.
 *
 * @param sequence number of the heartbeat or of the probe request
 * @param updates statements about members, bounded in number
 */
public record MembershipAck(long sequence, List<MemberUpdate> updates) implements PeerMessage {

    /** Copies the list. */
    public MembershipAck {
        updates = List.copyOf(updates);
    }
}
