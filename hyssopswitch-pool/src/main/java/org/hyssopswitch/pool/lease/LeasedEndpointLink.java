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

/** A connection that another VM lends, as the borrower sees it. */
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

    /** Whether the request or a command waits for an answer. */
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
            // An answer was lost with the link that carried it.
            close();
            listener.leaseEnded(LeaseEndReason.BROKEN);
            return;
        }
        receivedReplies++;
        listener.replied(reply.reply());
    }

    /** The lender ended the lease or is lost; it is told all the same, in case it lives. */
    void ended(LeaseEndReason reason) {
        close();
        listener.leaseEnded(reason);
    }

    /**
     * Where a connection comes from.
     *
     * @param vm name of the lender
     * @param endpointId the endpoint
     * @param leaseId this VM's number of the lease
     */
    record Origin(String vm, String endpointId, long leaseId) {}
}
