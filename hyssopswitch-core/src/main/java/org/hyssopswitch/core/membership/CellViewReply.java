package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * The view that a VM has of its own cell.
 *
 * @param cell the cell
 * @param digest digest of the view; 0 when the sender belongs to another cell
 * @param members the live members; empty when the digest is the one asked with
 */
public record CellViewReply(CellId cell, long digest, List<MemberUpdate> members) implements PeerMessage {

    /** Copies the list. */
    public CellViewReply {
        members = List.copyOf(members);
    }
}
