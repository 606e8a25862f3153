package org.hyssopswitch.proxy.forward;

/** How a cycle ended at the home. */
public enum AnswerState {
    /** The endpoint answered, possibly with an error of its own. */
    COMPLETE,
    /** The endpoint has not applied the session's floor; nothing ran. */
    NOT_COVERED,
    /**
     * No byte reached the endpoint, or it refused the cycle before running any of it; another endpoint may be tried.
     */
    NOT_RUN,
    /** The queue is full, or the statement's deadline passed while it was queued; nothing ran. */
    OVERLOADED,
    /** The caller cancelled the cycle before anything ran. */
    CANCELLED,
    /** The outcome is unknown: the cycle may have run. */
    UNKNOWN
}
