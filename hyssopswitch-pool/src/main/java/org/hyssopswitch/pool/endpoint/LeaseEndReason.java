package org.hyssopswitch.pool.endpoint;

/** Why a VM does not lend a connection, or lends it no longer. */
public enum LeaseEndReason {

    /** More work waits for the endpoint than can be served in time. */
    OVERLOADED,

    /** The endpoint has been silent for a while. */
    SUSPECT,

    /** The lender does not reach the endpoint. */
    UNREACHABLE,

    /** The lender stops, does not know the endpoint, or does not answer. */
    NO_LENDER,

    /** The connection broke. */
    BROKEN
}
