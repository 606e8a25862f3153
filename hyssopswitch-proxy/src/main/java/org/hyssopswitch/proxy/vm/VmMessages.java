package org.hyssopswitch.proxy.vm;

import org.hyssopswitch.core.failover.ControlAnswer;
import org.hyssopswitch.core.failover.ControlCall;
import org.hyssopswitch.core.membership.CellViewReply;
import org.hyssopswitch.core.membership.CellViewRequest;
import org.hyssopswitch.core.membership.MembershipAck;
import org.hyssopswitch.core.membership.MembershipPing;
import org.hyssopswitch.core.membership.MembershipProbeRequest;
import org.hyssopswitch.peer.MessageRegistry;
import org.hyssopswitch.proxy.forward.ForwardMessages;

/** The messages between VMs, by number. */
public final class VmMessages {

    private VmMessages() {}

    /** Lists all messages. */
    public static MessageRegistry registry() {
        MessageRegistry.Builder builder = MessageRegistry.builder()
                .register(10, MembershipPing.class)
                .register(11, MembershipAck.class)
                .register(12, MembershipProbeRequest.class)
                .register(13, CellViewRequest.class)
                .register(14, CellViewReply.class)
                .register(40, ControlCall.class)
                .register(41, ControlAnswer.class);
        ForwardMessages.register(builder);
        return builder.build();
    }
}
