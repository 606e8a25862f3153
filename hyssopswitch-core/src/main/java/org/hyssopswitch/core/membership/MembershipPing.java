package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * A heartbeat that asks for an acknowledgement.
 *
 * @param sequence number that the acknowledgement repeats
 * @param updates statements about members, bounded in number
 */
public record MembershipPing(long sequence, List<MemberUpdate> updates) implements PeerMessage {

    /** Copies the list. */
    public MembershipPing {
        updates = List.copyOf(updates);
    }
}
