package org.hyssopswitch.core.failover;

/** Result of a control call. */
public enum ControlResult {
    /** The endpoint carried out the request. */
    ACCEPTED,
    /** The endpoint responded but did not carry out the request. */
    REFUSED,
    /** No response arrived; the call may have taken effect. */
    FAILED
}
