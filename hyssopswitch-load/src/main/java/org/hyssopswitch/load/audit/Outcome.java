package org.hyssopswitch.load.audit;

/** How an operation ended, as its caller knows. */
public enum Outcome {
    /** Acknowledged. */
    ACKNOWLEDGED,
    /** Refused because of the rate, and not run. */
    RATE_REFUSED,
    /** Not run. */
    NOT_RUN,
    /** Failed with its transaction rolled back. */
    FAILED,
    /** It may have run or may still run. */
    UNKNOWN
}
