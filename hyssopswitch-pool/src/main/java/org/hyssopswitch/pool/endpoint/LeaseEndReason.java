package org.hyssopswitch.pool.endpoint;

/** The reason why a lender refuses or ends the lease of a connection. */
public enum LeaseEndReason {

    /** More requests wait for the endpoint than can be served in time. */
    OVERLOADED,

    /** The endpoint is suspected to be unavailable, because it has not answered for a while. */
    SUSPECT,

    /** The endpoint is unreachable from the lender. */
    UNREACHABLE,

    /** The lender is stopping, has no such endpoint, or does not answer. */
    NO_LENDER,

    /** The connection was lost. */
    BROKEN
}
