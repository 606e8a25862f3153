package org.hyssopswitch.pool.testing;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.EndpointLink;
import org.hyssopswitch.pool.endpoint.ReplicationStatus;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;
import org.hyssopswitch.pool.statement.TransactionStatus;

/** A database server that answers in virtual time and keeps what it ran. */
public final class FakeEndpoint {

    /** Milliseconds until an answer arrives. */
    private static final long ANSWER_MILLIS = 2;

    private static final long OPEN_MILLIS = 12;

    private final ManualLoop loop;
    private final List<String> ran = new ArrayList<>();
    private final Map<String, Map<String, String>> valuesAt = new HashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final int maxConnections;
    private final String id;
    private boolean primary;
    private boolean up = true;
    private boolean silent;
    private boolean busy;
    private long workMillis;
    private LogPosition position = new LogPosition(1, 10);
    private int opened;
    private int asked;
    private boolean foreign;
    private boolean full;
    private int refusedFull;

    /** Creates an endpoint that is up. */
    public FakeEndpoint(ManualLoop loop, String id, boolean primary, int maxConnections) {
        this.loop = loop;
        this.id = id;
        this.primary = primary;
        this.maxConnections = maxConnections;
    }

    /** The entry that the platform lists. */
    public Endpoint entry(String group, String dataCentre, long revision) {
        return new Endpoint(id, group, "10.0.0.1", 1000, dataCentre, false, primary, 1, 0, revision);
    }

    /** Identifiers of the callers' statements that were run, in order. */
    public List<String> executedStatements() {
        return List.copyOf(ran);
    }

    /** The session values under which a statement ran. */
    public Map<String, String> sessionValues(String statementId) {
        return valuesAt.get(statementId);
    }

    /** Connections opened so far. */
    public int openedConnections() {
        return opened;
    }

    /** Connections open now. */
    public int openConnections() {
        return links.size();
    }

    /** The log position. */
    public LogPosition position() {
        return position;
    }

    /** Reads the row in which a fake endpoint answers a query of its status. */
    public static Option<ReplicationStatus> decodeStatus(String row) {
        String[] fields = row.split(" ", -1);
        long term = Long.parseLong(fields[1]);
        return Option.some(new ReplicationStatus(
                Boolean.parseBoolean(fields[0]), term, new LogPosition(term, Long.parseLong(fields[2]))));
    }

    /** Whether it is the primary. */
    public boolean isPrimary() {
        return primary;
    }

    /** Moves the log. */
    public void setPosition(LogPosition next) {
        position = next;
    }

    /** Makes it the primary or a replica. */
    public void setPrimary(boolean leads) {
        primary = leads;
    }

    /** Time that a read or write takes, milliseconds. */
    public void setWorkMillis(long millis) {
        workMillis = millis;
    }

    /** Refuses all work for lack of capacity. */
    public void setOverloaded(boolean refuses) {
        busy = refuses;
    }

    /** Takes whatever arrives and answers nothing. */
    public void setUnresponsive(boolean mute) {
        silent = mute;
    }

    /** Refuses connections as if other VMs held all of them. */
    public void setConnectionsExhausted(boolean refuses) {
        full = refuses;
    }

    /** Refuses connections because the address belongs to another process now. */
    public void setMisrouted(boolean other) {
        foreign = other;
    }

    /** Connections that were asked for so far. */
    public int connectAttempts() {
        return asked;
    }

    /** Connections refused so far because it had enough. */
    public int rejectedConnections() {
        return refusedFull;
    }

    /** Ends the process: connections break and none can be opened. */
    public void crash() {
        up = false;
        breakConnections();
    }

    /** Accepts connections again. */
    public void restart() {
        up = true;
    }

    /** Breaks all connections. */
    public void breakConnections() {
        List.copyOf(links).forEach(link -> {
            links.remove(link);
            loop.execute(link.listener::closed);
        });
    }

    /** Opens a connection. */
    public EndpointLink connect(Account account, EndpointLink.Listener listener) {
        asked++;
        Link link = new Link(listener);
        if (silent) {
            return link;
        }
        loop.schedule(OPEN_MILLIS, () -> {
            if (!up) {
                listener.closed();
            } else if (foreign) {
                listener.refused(ErrorCode.MISROUTED);
            } else if (full || links.size() >= maxConnections) {
                refusedFull++;
                listener.refused(ErrorCode.TOO_MANY_CONNECTIONS);
            } else if (!link.closed) {
                links.add(link);
                opened++;
                listener.opened(Option.some(position));
            }
        });
        return link;
    }

    private final class Link implements EndpointLink {

        private final Listener listener;
        private final Set<PreparedShape> prepared = new HashSet<>();
        private final Map<String, String> values = new HashMap<>();
        private TransactionStatus status = TransactionStatus.IDLE;
        private boolean closed;
        private boolean readWrite;
        private boolean wrote;
        private long freeAtMillis;

        Link(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void send(List<EndpointCommand> commands) {
            if (silent) {
                return;
            }
            for (EndpointCommand command : commands) {
                boolean works =
                        command instanceof EndpointCommand.Forward || command instanceof EndpointCommand.Execute;
                freeAtMillis = Math.max(freeAtMillis, loop.nowMillis()) + ANSWER_MILLIS + (works ? workMillis : 0);
                loop.schedule(freeAtMillis - loop.nowMillis(), () -> answer(command));
            }
        }

        @Override
        public void close() {
            closed = true;
            links.remove(this);
        }

        private void answer(EndpointCommand command) {
            if (closed || !links.contains(this) || silent) {
                return;
            }
            StatementOutcome outcome = run(command);
            if (outcome instanceof StatementOutcome.Failed && status == TransactionStatus.OPEN) {
                status = TransactionStatus.FAILED;
            }
            listener.replied(new Reply(rows(command), outcome, status, Option.some(position)));
        }

        private List<String> rows(EndpointCommand command) {
            boolean control =
                    command instanceof EndpointCommand.QueryStatus || command instanceof EndpointCommand.StepDown;
            return control ? List.of(primary + " " + position.term() + " " + position.offset()) : List.of();
        }

        private StatementOutcome run(EndpointCommand command) {
            if (command instanceof EndpointCommand.StepDown) {
                primary = false;
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.Begin begin) {
                return begin(begin);
            }
            if (command instanceof EndpointCommand.Rollback) {
                status = TransactionStatus.IDLE;
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.Prepare prepare) {
                prepared.add(prepare.shape());
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.Reset) {
                prepared.clear();
                values.clear();
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.SetValue set) {
                values.put(set.name(), set.value());
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.Forward forward) {
                return work(
                        forward.id(),
                        forward.text(),
                        forward.floor(),
                        forward.text().startsWith("WRITE"));
            }
            if (command instanceof EndpointCommand.Execute execute) {
                return prepared.contains(execute.shape())
                        ? work(
                                execute.id(),
                                "EXEC",
                                execute.floor(),
                                execute.shape().write())
                        : failed(ErrorCode.STATEMENT_UNKNOWN);
            }
            return StatementOutcome.Success.LOCAL;
        }

        private StatementOutcome begin(EndpointCommand.Begin begin) {
            if (!begin.readOnly() && !primary) {
                return failed(ErrorCode.READ_ONLY);
            }
            if (begin.floor().exists(floor -> floor.compareTo(position) > 0)) {
                return failed(ErrorCode.LAGGING);
            }
            status = TransactionStatus.OPEN;
            readWrite = !begin.readOnly();
            wrote = false;
            return StatementOutcome.Success.LOCAL;
        }

        private StatementOutcome work(String statementId, String text, Option<LogPosition> floor, boolean write) {
            if (busy) {
                return failed(ErrorCode.OVERLOADED);
            }
            boolean open = status == TransactionStatus.OPEN;
            if ((write || (open && readWrite)) && !primary && !text.startsWith("COMMIT")) {
                return failed(ErrorCode.READ_ONLY);
            }
            if (floor.exists(needed -> needed.compareTo(position) > 0)) {
                return failed(ErrorCode.LAGGING);
            }
            ran.add(statementId);
            valuesAt.put(statementId, Map.copyOf(values));
            wrote |= write;
            if (text.startsWith("COMMIT") || (write && !open)) {
                status = TransactionStatus.IDLE;
                position = wrote ? new LogPosition(position.term(), position.offset() + 1) : position;
                wrote = false;
            }
            return new StatementOutcome.Success("signed-" + id);
        }

        private StatementOutcome failed(ErrorCode code) {
            return new StatementOutcome.Failed(code, id);
        }
    }
}
