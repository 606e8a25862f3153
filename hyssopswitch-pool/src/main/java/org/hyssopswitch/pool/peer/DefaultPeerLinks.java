package org.hyssopswitch.pool.peer;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.peer.GrizzlyPeerTransport;
import org.hyssopswitch.peer.MessageRegistry;
import org.hyssopswitch.peer.PeerListener;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.peer.PeerTransport;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Links to the other VMs over TCP, with messages encoded in MessagePack. */
public final class DefaultPeerLinks implements PeerLinks {

    /**
     * Maximum number of recipients of a message to a subset of the VMs: enough to find unused tokens, and bounded in
     * any fleet.
     */
    private static final int MAX_RECIPIENTS = 8;

    private final DecisionLoop loop;
    private final Random random;
    private final PeerLinkListener listener;
    private final VmAddress self;
    private final PeerTransport transport;
    private final Map<String, VmAddress> addresses = new HashMap<>();

    /**
     * Binds the listener for other VMs.
     *
     * @param options identity and address of this VM, and the limits of its links
     * @param loop the decision thread
     * @param random chooses recipients
     * @param listener receives messages and the events of links
     */
    public DefaultPeerLinks(PeerOptions options, DecisionLoop loop, Random random, PeerLinkListener listener) {
        this.loop = loop;
        this.random = random;
        this.listener = listener;
        GrizzlyPeerTransport bound = new GrizzlyPeerTransport(
                options, registry(), new InboundListener(), new MetricRegistry(), random, loop::nowMillis);
        this.transport = bound;
        this.self = bound.self();
    }

    /**
     * Updates the list of VMs. The address of a later incarnation that has sent a message is kept.
     *
     * @param listed the VMs, this one included
     */
    public void update(Collection<VmAddress> listed) {
        Map<String, VmAddress> next = new HashMap<>();
        listed.forEach(address -> {
            String name = address.vm().value();
            VmAddress known = addresses.get(name);
            next.put(name, known != null && known.incarnation() > address.incarnation() ? known : address);
        });
        addresses.clear();
        addresses.putAll(next);
        addresses.remove(self.vm().value());
    }

    @Override
    public void send(String vm, PeerMessage message) {
        Option.of(addresses.get(vm)).forEach(to -> transport.send(to, message));
    }

    @Override
    public void sendToSubset(PeerMessage message) {
        List<VmAddress> recipients = new ArrayList<>(addresses.values());
        if (recipients.size() > MAX_RECIPIENTS) {
            Collections.shuffle(recipients, random);
            recipients = recipients.subList(0, MAX_RECIPIENTS);
        }
        recipients.forEach(to -> transport.send(to, message));
    }

    @Override
    public Collection<String> names() {
        return List.copyOf(addresses.keySet());
    }

    private static MessageRegistry registry() {
        return MessageRegistry.builder()
                .register(103, TokenTransfer.class)
                .register(104, VmStopping.class)
                .register(100, AdmissionRequest.class)
                .register(101, AdmissionReply.class)
                .register(102, TokenRequest.class)
                .register(112, ConnectionShortage.class)
                .register(113, PrimaryUnreachableReport.class)
                .register(114, LeadershipPing.class)
                .register(115, LeadershipPong.class)
                .register(116, LeaseRequest.class)
                .register(117, LeaseGrant.class)
                .register(118, LeaseEnded.class)
                .register(119, LeaseReturn.class)
                .register(120, LeaseCommand.class)
                .register(121, LeaseReply.class)
                .register(122, LenderPing.class)
                .register(123, PositionQuery.class)
                .register(124, PositionAnswer.class)
                .register(125, StoreSyncRequest.class)
                .register(127, StoreSyncResponse.class)
                .register(128, CommitConfirmationRequest.class)
                .register(129, CommitConfirmation.class)
                .build();
    }

    private final class InboundListener implements PeerListener {

        @Override
        public void messageReceived(VmAddress from, PeerMessage message) {
            loop.execute(() -> {
                learn(from);
                listener.received(from.vm().value(), message);
            });
        }

        @Override
        public void linkOpened(VmAddress to) {
            loop.execute(() -> listener.linkOpened(to.vm().value()));
        }

        /** Messages are addressed to VMs by name here, and each exchange tolerates that the receiver has started again. */
        @Override
        public boolean followsIncarnations() {
            return true;
        }

        @Override
        public void incarnationChanged(VmAddress newer) {
            loop.execute(() -> learn(newer));
        }

        @Override
        public void linkFailed(VmAddress to) {
            loop.execute(() -> listener.linkFailed(to.vm().value()));
        }

        private void learn(VmAddress address) {
            VmAddress known = addresses.get(address.vm().value());
            if (known == null || known.incarnation() < address.incarnation()) {
                addresses.put(address.vm().value(), address);
            }
        }
    }
}
