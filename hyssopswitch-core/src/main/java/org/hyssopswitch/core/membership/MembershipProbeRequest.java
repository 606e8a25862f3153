package org.hyssopswitch.core.membership;

import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a member to send a heartbeat to a third one that has not answered.
 *
 * @param sequence number that the acknowledgement repeats
 * @param target the member to probe
 */
public record MembershipProbeRequest(long sequence, VmAddress target) implements PeerMessage {}
