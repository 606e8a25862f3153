package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.identity.TeamId;

/**
 * A subtree as VMs send it to each other.
 *
 * @param team the team
 * @param version version of the subtree
 * @param baseVersion version of the subtree that the receiver must have to decode it; 0 for none
 * @param encoded the value, encoded by {@link SubtreeDelta}; empty for a removed subtree
 */
public record SubtreeChange(TeamId team, long version, long baseVersion, byte[] encoded) {}
