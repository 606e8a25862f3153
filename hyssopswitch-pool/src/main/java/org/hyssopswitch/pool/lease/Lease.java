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
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/** A connection that this VM lends, or will lend once one is free. */
final class Lease implements ConnectionRequest {

    private final LeaseRequest request;
    private final Account account;
    private final Events events;
    private final LongSupplier clock;
    private final long assignBeforeMillis;
    private Option<PooledConnection> connection = Option.none();
    private int received;
    private int unanswered;
    private boolean over;
    private long usedMillis;

    Lease(LeaseRequest request, Account account, Events events, LongSupplier clock) {
        this.request = request;
        this.account = account;
        this.events = events;
        this.clock = clock;
        this.usedMillis = clock.getAsLong();
        this.assignBeforeMillis = usedMillis + request.waitMillis();
    }

    /** When the borrower last sent something, milliseconds of the monotonic clock. */
    long lastUsedMillis() {
        return usedMillis;
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
        return assignBeforeMillis;
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
        if (over) {
            lent.release();
            return;
        }
        connection = Option.some(lent);
        events.granted();
    }

    @Override
    public void refused(ErrorCode code, String reason) {
        if (!over) {
            end(LeaseEndReason.OVERLOADED);
        }
    }

    /** Runs a command of the borrower. */
    void run(LeaseCommand command) {
        usedMillis = clock.getAsLong();
        if (connection.isEmpty() || command.number() != received) {
            // A command before this one was lost with the link that carried it.
            connection.forEach(PooledConnection::discard);
            if (!over) {
                end(LeaseEndReason.BROKEN);
            }
            return;
        }
        received++;
        unanswered++;
        connection.get().applySession(command.values(), command.shape());
        connection.get().send(command.command(), new CommandReply(command.number()));
    }

    /** The borrower returned the connection or gave up its request. */
    void release() {
        over = true;
        connection.forEach(lent -> {
            if (unanswered > 0) {
                lent.discard();
            } else {
                lent.release();
            }
        });
        connection = Option.none();
    }

    private void end(LeaseEndReason reason) {
        over = true;
        connection = Option.none();
        events.ended(request.group(), request.endpoint(), reason);
    }

    /** Told what becomes of a lease. */
    interface Events {

        /** A connection is lent. */
        void granted();

        /** A command was answered. */
        void replied(LeaseReply reply);

        /**
         * The lease is over.
         *
         * @param group the endpoint's group
         * @param endpointId the endpoint
         * @param otherwise why, unless the endpoint cannot be reached
         */
        void ended(String group, String endpointId, LeaseEndReason otherwise);
    }

    private final class CommandReply implements ReplyHandler {

        private final int number;

        CommandReply(int number) {
            this.number = number;
        }

        @Override
        public void replied(Reply reply) {
            unanswered--;
            if (reply.error().contains(ErrorCode.STATEMENT_UNKNOWN)) {
                connection.forEach(PooledConnection::clearPrepared);
            }
            if (!over) {
                events.replied(new LeaseReply(request.lease(), number, reply));
            }
        }

        @Override
        public void connectionLost() {
            if (!over) {
                end(LeaseEndReason.BROKEN);
            }
        }
    }
}
