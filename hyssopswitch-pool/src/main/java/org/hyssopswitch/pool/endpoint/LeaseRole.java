package org.hyssopswitch.pool.endpoint;

/** The role of a VM for an endpoint that accepts too few connections for all VMs. */
public enum LeaseRole {

    /** The VM lends its connections to other VMs. */
    LENDER,

    /** The VM borrows connections from another VM. */
    BORROWER,

    /** The VM opens its own connections, because no VM lends any. */
    DIRECT
}
