package org.hyssopswitch.core.membership;

/** What is known of a member; of two states with the same counter the later one holds. */
public enum MemberState {
    /** Answers heartbeats. */
    ALIVE,
    /** Has missed heartbeats and may still refute the suspicion. */
    SUSPECT,
    /** Has not refuted the suspicion in time. */
    DEAD,
    /** Is dead and has disappeared from the platform's list. */
    GONE
}
