package org.hyssopswitch.core.membership;

import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Message that requests a VM's view of its own cell.
 *
 * @param cell the cell
 * @param digest digest of the sender's view of the cell; 0 for none
 */
public record CellViewRequest(CellId cell, long digest) implements PeerMessage {}
