package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Heartbeat message; the recipient acknowledges it.
 *
 * @param sequence number that the acknowledgement repeats
 * @param updates gossiped updates about members, bounded in number
 */
public record MembershipPing(long sequence, List<MemberUpdate> updates) implements PeerMessage {

    /** Copies the list. */
    public MembershipPing {
        updates = List.copyOf(updates);
    }
}
