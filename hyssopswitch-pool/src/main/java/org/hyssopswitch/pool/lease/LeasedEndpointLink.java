package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.endpoint.BorrowedLink;
import org.hyssopswitch.pool.endpoint.EndpointLink;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;
import org.hyssopswitch.pool.peer.LeaseCommand;
import org.hyssopswitch.pool.peer.LeaseReply;
import org.hyssopswitch.pool.peer.LeaseReturn;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.PreparedShape;

/** The borrower's side of a connection that another VM lends. */
final class LeasedEndpointLink implements BorrowedLink {

    private final Origin origin;
    private final EndpointLink.Listener listener;
    private final BiConsumer<String, PeerMessage> sender;
    private Map<String, String> sessionValues = Map.of();
    private Option<PreparedShape> shape = Option.none();
    private int sentCommands;
    private int receivedReplies;
    private boolean granted;
    private boolean closed;

    LeasedEndpointLink(Origin origin, EndpointLink.Listener listener, BiConsumer<String, PeerMessage> sender) {
        this.origin = origin;
        this.listener = listener;
        this.sender = sender;
    }

    Origin origin() {
        return origin;
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns whether the lease request or a command is unanswered. */
    boolean isAwaitingReply() {
        return !closed && (!granted || receivedReplies < sentCommands);
    }

    @Override
    public void applySession(Map<String, String> wanted, Option<PreparedShape> prepared) {
        sessionValues = Map.copyOf(wanted);
        shape = prepared;
    }

    @Override
    public void send(List<EndpointCommand> commands) {
        for (EndpointCommand command : commands) {
            sender.accept(origin.vm(), new LeaseCommand(origin.leaseId(), sentCommands, sessionValues, shape, command));
            sentCommands++;
        }
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            sender.accept(origin.vm(), new LeaseReturn(origin.leaseId()));
        }
    }

    void granted() {
        if (!granted) {
            granted = true;
            listener.opened(Option.none());
        }
    }

    void replied(LeaseReply reply) {
        if (reply.sequence() != receivedReplies) {
            // A reply was lost when the link between the VMs failed.
            close();
            listener.leaseEnded(LeaseEndReason.BROKEN);
            return;
        }
        receivedReplies++;
        listener.replied(reply.reply());
    }

    /**
     * The lender ended the lease or is considered lost. It is notified in both cases, because it may still be running.
     */
    void ended(LeaseEndReason reason) {
        close();
        listener.leaseEnded(reason);
    }

    /**
     * Origin of a lent connection.
     *
     * @param vm name of the lender
     * @param endpointId the endpoint
     * @param leaseId identifier of the lease, chosen by this VM
     */
    record Origin(String vm, String endpointId, long leaseId) {}
}
