package org.hyssopswitch.core.membership;

import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Message that requests an indirect probe: the recipient sends a heartbeat to a member that did not acknowledge one
 * from the sender.
 *
 * @param sequence number that the acknowledgement repeats
 * @param target the member to which the recipient sends the heartbeat
 */
public record MembershipProbeRequest(long sequence, VmAddress target) implements PeerMessage {}
