package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.placement.RendezvousUtils;

/** Maps client accounts to slots, and slots to the paths of their records. */
final class SlotUtils {

    private SlotUtils() {}

    /** Returns the slot of a client account; the same in every data centre. */
    static int slotOf(ClientAccountId account, int slots) {
        return (int) Long.remainderUnsigned(RendezvousUtils.score("slot", account.value()), slots);
    }

    /** Returns the path of the object that records the owner of a slot. */
    static String path(DataCentreId dataCentre, int slot) {
        return "limits/" + dataCentre + "/" + slot;
    }
}
