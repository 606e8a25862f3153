package org.hyssopswitch.pool.endpoint;

/** What a VM does with the connections of an endpoint that accepts too few for all VMs. */
public enum LeaseRole {

    /** It lends its connections to the other VMs. */
    LENDER,

    /** It borrows connections of another VM. */
    BORROWER,

    /** It connects for itself, because no VM lends. */
    DIRECT
}
