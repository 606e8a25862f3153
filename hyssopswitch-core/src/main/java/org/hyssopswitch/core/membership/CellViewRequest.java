package org.hyssopswitch.core.membership;

import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a VM for the view of its cell.
 *
 * @param cell the cell
 * @param digest digest of the view that the sender has; 0 for none
 */
public record CellViewRequest(CellId cell, long digest) implements PeerMessage {}
