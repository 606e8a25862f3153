package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Redirects the sender of a {@link ShareRequest} to the owner of a slot.
 *
 * @param lender data centre of the slot
 * @param slot the slot
 * @param owner the VM to send requests to
 */
public record SlotRedirect(DataCentreId lender, int slot, VmAddress owner) implements PeerMessage {}
