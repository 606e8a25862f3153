package org.hyssopswitch.core.membership;

import org.hyssopswitch.core.identity.VmAddress;

/**
 * The state of a member, gossiped with heartbeats and their acknowledgements.
 *
 * <p>The digest of a cell's view, which VMs compare, is computed from the text form of this record. The names of the
 * record and of its components, and those of {@link VmAddress}, are therefore part of the protocol.
 *
 * @param address address and incarnation of the member
 * @param state the state of the member
 * @param counter number that only the member itself increments, when it refutes a suspicion; 0 or more
 * @param leaving whether the member is shutting down and is to receive no new work
 */
public record MemberUpdate(VmAddress address, MemberState state, long counter, boolean leaving) {

    /** Checks the range. */
    public MemberUpdate {
        if (counter < 0) {
            throw new IllegalArgumentException("the counter of a member must not be negative, but is " + counter);
        }
    }

    /** Whether the member counts as live: alive, or suspected and not yet declared dead. */
    public boolean isLive() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** Whether this takes precedence over another update about the same incarnation. */
    boolean supersedes(MemberUpdate other) {
        if (counter != other.counter) {
            return counter > other.counter;
        }
        return state.compareTo(other.state) > 0;
    }
}
