package org.hyssopswitch.bench.fleet;

import java.util.Arrays;
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
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.session.EndpointHints;
import org.hyssopswitch.core.session.HintSubscription;
import org.hyssopswitch.peer.MessageCodec;
import org.hyssopswitch.peer.MessageRegistry;
import org.hyssopswitch.proxy.forward.ForwardMessages;

/** The codec of all messages between VMs, and the subject that a message belongs to. */
public final class ControlMessages {

    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 8 << 20;

    private ControlMessages() {}

    /** Creates a codec of all messages. */
    public static MessageCodec codec() {
        MessageRegistry.Builder builder = MessageRegistry.builder()
                .register(10, MembershipPing.class)
                .register(11, MembershipAck.class)
                .register(12, MembershipProbeRequest.class)
                .register(13, CellViewRequest.class)
                .register(14, CellViewReply.class)
                .register(20, ConfigurationAnnouncement.class)
                .register(21, ConfigurationQuery.class)
                .register(22, ConfigurationRequest.class)
                .register(23, ConfigurationPage.class)
                .register(30, ShareRequest.class)
                .register(31, ShareGrant.class)
                .register(32, ShareRecall.class)
                .register(33, SlotRedirect.class)
                .register(34, SettleRequest.class)
                .register(40, GroupReports.class)
                .register(41, ControlCall.class)
                .register(42, ControlAnswer.class)
                .register(43, FloorRequest.class)
                .register(44, FloorReply.class)
                .register(50, HintSubscription.class)
                .register(51, EndpointHints.class);
        ForwardMessages.register(builder);
        return new MessageCodec(builder.build(), MAX_FRAME_BYTES);
    }

    /**
     * A frame without its length, as a link hands it to the codec.
     *
     * @param frame the frame
     */
    public static byte[] body(byte[] frame) {
        return Arrays.copyOfRange(frame, LENGTH_BYTES, frame.length);
    }

    /**
     * The subject of a message: the package of its class.
     *
     * @param message the message
     */
    public static String subject(PeerMessage message) {
        String name = message.getClass().getPackageName();
        return name.substring(name.lastIndexOf('.') + 1);
    }
}
