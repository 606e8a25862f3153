package org.hyssopswitch.core.membership;

/** The state of a member. Of two updates with the same counter, the one with the later constant takes precedence. */
public enum MemberState {
    /** Answers heartbeats. */
    ALIVE,
    /** Has missed heartbeats and can still refute the suspicion. */
    SUSPECT,
    /** Did not refute the suspicion before it timed out. */
    DEAD,
    /** Is dead and has been removed from the platform's list of VMs. */
    GONE
}
