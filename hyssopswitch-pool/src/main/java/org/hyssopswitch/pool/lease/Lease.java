package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.function.LongSupplier;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.endpoint.ConnectionRequest;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;
import org.hyssopswitch.pool.endpoint.PooledConnection;
import org.hyssopswitch.pool.endpoint.ReplyHandler;
import org.hyssopswitch.pool.peer.LeaseCommand;
import org.hyssopswitch.pool.peer.LeaseReply;
import org.hyssopswitch.pool.peer.LeaseRequest;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** A connection that this VM lends, or will lend once one is free. */
final class Lease implements ConnectionRequest {

    private final LeaseRequest request;
    private final Account account;
    private final Listener listener;
    private final LongSupplier clock;
    private final long assignmentDeadlineMillis;
    private Option<PooledConnection> connection = Option.none();
    private int receivedCommands;
    private int pendingReplies;
    private boolean ended;
    private long lastUsedMillis;

    Lease(LeaseRequest request, Account account, Listener listener, LongSupplier clock) {
        this.request = request;
        this.account = account;
        this.listener = listener;
        this.clock = clock;
        this.lastUsedMillis = clock.getAsLong();
        this.assignmentDeadlineMillis = lastUsedMillis + request.waitMillis();
    }

    /** Returns when the borrower last sent a message, milliseconds of the monotonic clock. */
    long lastUsedMillis() {
        return lastUsedMillis;
    }

    @Override
    public Account account() {
        return account;
    }

    @Override
    public int priority() {
        return request.priority();
    }

    @Override
    public boolean primaryOnly() {
        return false;
    }

    @Override
    public Option<String> pinnedTo() {
        return Option.some(request.endpoint());
    }

    @Override
    public long stalenessMillis() {
        return 0;
    }

    @Override
    public LogPosition sessionFloor() {
        return LogPosition.ZERO;
    }

    @Override
    public long assignmentDeadlineMillis() {
        return assignmentDeadlineMillis;
    }

    @Override
    public long unavailableWaitMillis() {
        return 0;
    }

    @Override
    public boolean excludes(String endpointId) {
        return false;
    }

    @Override
    public void assigned(PooledConnection lent, Option<LogPosition> floor) {
        if (ended) {
            lent.release();
            return;
        }
        connection = Option.some(lent);
        listener.granted();
    }

    @Override
    public void refused(ErrorCode code, String reason) {
        if (!ended) {
            end(LeaseEndReason.OVERLOADED);
        }
    }

    /** Runs a command of the borrower. */
    void run(LeaseCommand command) {
        lastUsedMillis = clock.getAsLong();
        if (connection.isEmpty() || command.sequence() != receivedCommands) {
            // An earlier command was lost when the link between the VMs failed.
            connection.forEach(PooledConnection::discard);
            if (!ended) {
                end(LeaseEndReason.BROKEN);
            }
            return;
        }
        receivedCommands++;
        pendingReplies++;
        if (!(command.command() instanceof EndpointCommand.Rollback)) {
            // In a failed transaction the endpoint accepts only its end.
            connection.get().applySession(command.values(), command.shape());
        }
        connection.get().send(command.command(), new CommandReply(command.sequence()));
    }

    /** The borrower returned the connection or abandoned its request. */
    void release() {
        ended = true;
        connection.forEach(lent -> {
            if (pendingReplies > 0) {
                lent.discard();
            } else {
                lent.release();
            }
        });
        connection = Option.none();
    }

    private void end(LeaseEndReason reason) {
        ended = true;
        connection = Option.none();
        listener.ended(request.group(), request.endpoint(), reason);
    }

    /** Receives the events of a lease. */
    interface Listener {

        /** A connection is lent. */
        void granted();

        /** A command was answered. */
        void replied(LeaseReply reply);

        /**
         * The lease has ended.
         *
         * @param group group of the endpoint
         * @param endpointId the endpoint
         * @param defaultReason the reason to report unless the group refuses to lend connections to the endpoint
         */
        void ended(String group, String endpointId, LeaseEndReason defaultReason);
    }

    private final class CommandReply implements ReplyHandler {

        private final int sequence;

        CommandReply(int sequence) {
            this.sequence = sequence;
        }

        @Override
        public void replied(Reply reply) {
            pendingReplies--;
            if (reply.error().contains(ErrorCode.STATEMENT_UNKNOWN)) {
                connection.forEach(PooledConnection::clearPrepared);
            }
            if (!ended) {
                listener.replied(new LeaseReply(request.leaseId(), sequence, reply));
            }
        }

        @Override
        public void connectionLost() {
            if (!ended) {
                end(LeaseEndReason.BROKEN);
            }
        }
    }
}
