package org.hyssopswitch.core.failover;

/** Whether a group requires a promotion, and which. */
public enum RequiredPromotion {
    /** The group is healthy, or nothing is known to the contrary. */
    NONE,
    /** A fence was abandoned without a promotion; the present primary may stay. */
    REPAIR,
    /** The present primary has lost its group or is leaving, and another endpoint must take over. */
    REPLACE
}
