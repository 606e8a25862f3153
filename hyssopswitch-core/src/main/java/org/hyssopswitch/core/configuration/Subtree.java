package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.identity.TeamId;

/**
 * The value of a team's object on the platform.
 *
 * @param team the team
 * @param version version of the object
 * @param value the value; empty if the subtree is removed
 */
public record Subtree(TeamId team, long version, byte[] value) {

    /** The value of a subtree that is removed or was never written. */
    static final byte[] NO_VALUE = new byte[0];
}
