package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Message with a VM's view of its own cell.
 *
 * @param cell the cell
 * @param digest digest of the view; 0 when the sender belongs to another cell
 * @param members the live members; empty when the digest equals that of the request
 */
public record CellViewReply(CellId cell, long digest, List<MemberUpdate> members) implements PeerMessage {

    /** Copies the list. */
    public CellViewReply {
        members = List.copyOf(members);
    }
}
