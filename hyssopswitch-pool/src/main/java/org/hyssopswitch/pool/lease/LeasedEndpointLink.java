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
    private Map<String, String> values = Map.of();
    private Option<PreparedShape> shape = Option.none();
    private int sent;
    private int answered;
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
        return !closed && (!granted || answered < sent);
    }

    @Override
    public void applySession(Map<String, String> wanted, Option<PreparedShape> prepared) {
        values = Map.copyOf(wanted);
        shape = prepared;
    }

    @Override
    public void send(List<EndpointCommand> commands) {
        for (EndpointCommand command : commands) {
            sender.accept(origin.vm(), new LeaseCommand(origin.lease(), sent, values, shape, command));
            sent++;
        }
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            sender.accept(origin.vm(), new LeaseReturn(origin.lease()));
        }
    }

    void granted() {
        if (!granted) {
            granted = true;
            listener.opened(Option.none());
        }
    }

    void replied(LeaseReply reply) {
        if (reply.number() != answered) {
            // An answer was lost with the link that carried it.
            close();
            listener.leaseEnded(LeaseEndReason.BROKEN);
            return;
        }
        answered++;
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
     * @param lease this VM's number of the lease
     */
    record Origin(String vm, String endpointId, long lease) {}
}
