package org.hyssopswitch.proxy.entry;

import io.vavr.control.Option;
import java.security.SecureRandom;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.proxy.net.FrameListener;

/** The callers' side of a VM. Confined to the decision thread. */
public final class EntryService {

    private final EntryContext context;
    private final EntrySessions sessions = new EntrySessions();
    private boolean draining;

    /**
     * Creates a service without callers.
     *
     * @param loop the decision thread
     * @param self this VM
     * @param options bounds for callers
     * @param collaborators what the entry needs of the rest of its VM
     */
    public EntryService(DecisionLoop loop, VmAddress self, EntryOptions options, EntryCollaborators collaborators) {
        this.context = new EntryContext(
                loop,
                options,
                collaborators,
                new Forwarder(self, collaborators.sender()),
                new EntryMetrics(collaborators.metrics()),
                new ConfirmedPositions(),
                new FloorRequests(collaborators.floors()),
                new SecureRandom());
    }

    /**
     * Takes an accepted connection.
     *
     * @param channel the connection
     * @return takes what happens on it
     */
    public FrameListener accept(FrameChannel channel) {
        CallerConnection connection = new CallerConnection(context, sessions, channel);
        sessions.accepted(connection);
        int most = context.options().maxConnections();
        if (draining) {
            connection.drain();
        } else if (sessions.size() > most) {
            connection.refuse(new Refusal.TooManyConnections(most));
        }
        return connection;
    }

    /**
     * Handles a message if it concerns an entry.
     *
     * @param from the home
     * @param message the message
     */
    public void messageReceived(VmAddress from, PeerMessage message) {
        context.forwarder().messageReceived(from, message);
    }

    /**
     * Ends the streams to a home that may have lost them.
     *
     * @param home the home
     */
    public void linkFailed(VmAddress home) {
        context.forwarder().linkFailed(home);
    }

    /**
     * Takes the answer to a request for a floor.
     *
     * @param ticket number of the request
     * @param floor the floor, or nothing when none could be confirmed in time
     */
    public void floorResolved(long ticket, Option<LogPosition> floor) {
        context.floors().resolve(ticket, floor);
    }

    /** Checks the keys of all idle sessions; called when a configuration has come into force. */
    public void configured() {
        sessions.all().forEach(c -> c.session().forEach(CallerSession::recheck));
    }

    /** Ends every session at its next transaction boundary and refuses new ones. */
    public void drain() {
        draining = true;
        sessions.all().forEach(CallerConnection::drain);
    }

    /** Ends every session at its next statement boundary, also inside a transaction. */
    public void endTransactions() {
        sessions.all().forEach(connection -> connection.session().forEach(CallerSession::endTransaction));
    }

    /** The number of callers' connections. */
    public int connections() {
        return sessions.size();
    }

    /** The number of statements and transactions at homes. */
    public int streams() {
        return context.forwarder().size();
    }
}
