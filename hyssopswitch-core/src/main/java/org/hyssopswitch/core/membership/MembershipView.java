package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** This VM's view of the members of its own cell and of other cells. Confined to the decision thread. */
public interface MembershipView {

    /** Returns the address of this VM. */
    VmAddress self();

    /**
     * Returns a number that grows with every change of the view; results derived from the view stay valid until then.
     */
    long version();

    /**
     * Returns the live VMs of a cell, ordered by name, including this VM when it belongs to the cell. A call for a cell
     * other than the own one marks that cell as in use, so that its view is kept up to date.
     *
     * @param cell the cell
     */
    List<VmAddress> live(CellId cell);

    /**
     * Returns the live VMs of a cell that are not leaving and may receive new work, ordered by name; all live VMs when
     * every one is leaving.
     *
     * @param cell the cell
     */
    List<VmAddress> candidates(CellId cell);

    /**
     * Whether a VM is suspected to have failed, because it missed heartbeats or because a link to it failed recently.
     *
     * @param vm the VM
     */
    boolean isSuspected(VmAddress vm);

    /**
     * Whether an incarnation of a VM is known to have ended: a higher incarnation of the VM is known, or the VM was
     * declared dead for missed heartbeats and has been removed from the platform's list. Once true, the result stays
     * true.
     *
     * @param vm the VM
     * @param incarnation the incarnation
     */
    boolean isConfirmedGone(VmId vm, long incarnation);
}
