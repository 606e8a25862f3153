package org.hyssopswitch.core.membership;

import java.util.List;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** What this VM knows about the other VMs. Confined to the decision thread. */
public interface MembershipView {

    /** The address of this VM. */
    VmAddress self();

    /** A number that grows with every change of the view; results derived from the view may be kept until then. */
    long version();

    /**
     * The VMs of a cell that are live, this VM included when it belongs to the cell, in order of their names. Asking
     * for a cell other than the own one marks that cell as in use, so that its view is kept up to date.
     *
     * @param cell the cell
     */
    List<VmAddress> live(CellId cell);

    /**
     * The live VMs of a cell that are not leaving and may be given new work, in order of their names.
     *
     * @param cell the cell
     */
    List<VmAddress> candidates(CellId cell);

    /**
     * Tells whether a VM is suspected to have failed, by missed heartbeats or by a link that broke just now.
     *
     * @param vm the VM
     */
    boolean isSuspected(VmAddress vm);

    /**
     * Tells whether an incarnation of a VM is known to have ended: a higher incarnation of the VM is known, or the VM
     * misses its heartbeats and has disappeared from the platform's list. The answer never changes back to false.
     *
     * @param vm the VM
     * @param incarnation the incarnation
     */
    boolean isConfirmedGone(VmId vm, long incarnation);
}
