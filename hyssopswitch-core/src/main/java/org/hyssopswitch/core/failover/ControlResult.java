package org.hyssopswitch.core.failover;

/** How a control call ended. */
public enum ControlResult {
    /** The endpoint did what was asked. */
    ACCEPTED,
    /** The endpoint answered without doing it. */
    REFUSED,
    /** No answer came; the call may have taken effect. */
    FAILED
}
