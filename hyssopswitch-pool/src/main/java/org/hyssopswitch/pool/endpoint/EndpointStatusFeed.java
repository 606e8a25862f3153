package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.List;
import java.util.function.Consumer;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;

/**
 * Queries the replication status of one process again and again, over a connection of its own. A status may be as old as the
 * connection, as endpoints may send a reply again; it is never that of a later process.
 */
public final class EndpointStatusFeed {

    /** Time without a reply after which the connection is taken for lost, milliseconds. */
    private static final long SILENCE_MILLIS = 500;

    private final GroupContext context;
    private final Consumer<ReplicationStatus> statuses;
    private Option<EndpointLink> link = Option.none();
    private boolean open;
    private boolean closed;
    private boolean queryPending;
    private long waitingSinceMillis;

    private EndpointStatusFeed(GroupContext context, Consumer<ReplicationStatus> statuses) {
        this.context = context;
        this.statuses = statuses;
        this.waitingSinceMillis = context.clock().getAsLong();
    }

    /** Connects and sends a first query. */
    static EndpointStatusFeed start(Endpoint endpoint, GroupContext context, Consumer<ReplicationStatus> statuses) {
        EndpointStatusFeed feed = new EndpointStatusFeed(context, statuses);
        EndpointLink opened = context.connector().open(endpoint, Account.ANONYMOUS, feed.new LinkListener());
        if (feed.closed) {
            opened.close();
        } else {
            feed.link = Option.some(opened);
        }
        return feed;
    }

    /** Sends a query, unless one is not answered yet. */
    public void query() {
        boolean waiting = !open || queryPending;
        if (!closed && waiting && context.clock().getAsLong() - waitingSinceMillis > SILENCE_MILLIS) {
            close();
        }
        if (!closed && !waiting) {
            queryPending = true;
            waitingSinceMillis = context.clock().getAsLong();
            link.forEach(opened -> opened.send(List.of(new EndpointCommand.QueryStatus())));
        }
    }

    /** Whether the connection has ended, after which no status follows. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the connection. */
    public void close() {
        if (!closed) {
            closed = true;
            link.forEach(EndpointLink::close);
        }
    }

    private final class LinkListener implements EndpointLink.Listener {

        @Override
        public void opened(Option<LogPosition> position) {
            open = true;
            query();
        }

        @Override
        public void refused(ErrorCode code) {
            close();
        }

        @Override
        public void replied(Reply reply) {
            queryPending = false;
            if (!closed && reply.succeeded()) {
                Option.ofOptional(reply.rows().stream().findFirst())
                        .flatMap(context.decoder()::decode)
                        .forEach(statuses);
            }
        }

        @Override
        public void closed() {
            close();
        }

        @Override
        public void leaseEnded(LeaseEndReason reason) {
            close();
        }
    }
}
