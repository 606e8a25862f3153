package org.hyssopswitch.proxy.vm;

import org.hyssopswitch.core.configuration.ConfigurationAnnouncement;
import org.hyssopswitch.core.configuration.ConfigurationPage;
import org.hyssopswitch.core.configuration.ConfigurationQuery;
import org.hyssopswitch.core.configuration.ConfigurationRequest;
import org.hyssopswitch.core.failover.ControlAnswer;
import org.hyssopswitch.core.failover.ControlCall;
import org.hyssopswitch.core.failover.FloorReply;
import org.hyssopswitch.core.failover.FloorRequest;
import org.hyssopswitch.core.failover.GroupReports;
import org.hyssopswitch.core.limit.SettleRequest;
import org.hyssopswitch.core.limit.ShareGrant;
import org.hyssopswitch.core.limit.ShareRecall;
import org.hyssopswitch.core.limit.ShareRequest;
import org.hyssopswitch.core.limit.SlotRedirect;
import org.hyssopswitch.core.membership.CellViewReply;
import org.hyssopswitch.core.membership.CellViewRequest;
import org.hyssopswitch.core.membership.MembershipAck;
import org.hyssopswitch.core.membership.MembershipPing;
import org.hyssopswitch.core.membership.MembershipProbeRequest;
import org.hyssopswitch.core.session.EndpointHints;
import org.hyssopswitch.core.session.HintSubscription;
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
                .register(20, ConfigurationQuery.class)
                .register(21, ConfigurationAnnouncement.class)
                .register(22, ConfigurationRequest.class)
                .register(23, ConfigurationPage.class)
                .register(30, ShareRequest.class)
                .register(31, ShareGrant.class)
                .register(32, ShareRecall.class)
                .register(33, SettleRequest.class)
                .register(34, SlotRedirect.class)
                .register(40, ControlCall.class)
                .register(41, ControlAnswer.class)
                .register(42, GroupReports.class)
                .register(43, FloorRequest.class)
                .register(44, FloorReply.class)
                .register(50, HintSubscription.class)
                .register(51, EndpointHints.class);
        ForwardMessages.register(builder);
        return builder.build();
    }
}
