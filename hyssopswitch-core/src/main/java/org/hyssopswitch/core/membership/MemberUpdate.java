package org.hyssopswitch.core.membership;

import org.hyssopswitch.core.identity.VmAddress;

/**
 * One statement about a member, spread with heartbeats.
 *
 * @param address the member with its incarnation
 * @param state its state
 * @param counter grows only by the member itself, when it refutes a suspicion; 0 or more
 * @param leaving whether the member is to get no new work
 */
public record MemberUpdate(VmAddress address, MemberState state, long counter, boolean leaving) {

    /** Checks the range. */
    public MemberUpdate {
        if (counter < 0) {
            throw new IllegalArgumentException("the counter of a member must not be negative, but is " + counter);
        }
    }

    /** Whether the member takes part in the cell. */
    public boolean isLive() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** Whether this says more than another statement about the same incarnation. */
    boolean supersedes(MemberUpdate other) {
        if (counter != other.counter) {
            return counter > other.counter;
        }
        return state.compareTo(other.state) > 0;
    }
}
