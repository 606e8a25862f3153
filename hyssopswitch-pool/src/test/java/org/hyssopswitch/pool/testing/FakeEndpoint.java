package org.hyssopswitch.pool.testing;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.core.failover.ReplicationStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.EndpointLink;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;

/** A database endpoint that replies in virtual time and records the statements it executed. */
public final class FakeEndpoint {

    /** Delay of a reply, milliseconds. */
    private static final long REPLY_DELAY_MILLIS = 2;

    private static final long CONNECT_DELAY_MILLIS = 12;

    private final ManualLoop loop;
    private final List<String> executedStatements = new ArrayList<>();
    private final Map<String, Map<String, String>> valuesByStatement = new HashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final int maxConnections;
    private final String id;
    private boolean primary;
    private boolean running = true;
    private boolean unresponsive;
    private boolean paused;
    private boolean overloaded;
    private long workMillis;
    private long startMillis;
    private long bornMillis = 1;
    private LogPosition position = new LogPosition(1, 10);
    private int openedConnections;
    private int connectAttempts;
    private boolean misrouted;
    private boolean connectionsExhausted;
    private int rejectedConnections;
    private int commandsInFailedTransactions;
    private Predicate<EndpointCommand> repeated = command -> false;
    private final List<Runnable> repeats = new ArrayList<>();
    private final Set<String> executedAlone = new HashSet<>();
    private int unansweredCommands;
    private boolean repeatsOpenings;
    private boolean refusesTransactions;
    private int valuesToRefuse;
    private boolean runsAfterClose;
    private Option<Stutter> stutter = Option.none();

    /** Creates an endpoint that is running. */
    public FakeEndpoint(ManualLoop loop, String id, boolean primary, int maxConnections) {
        this.loop = loop;
        this.id = id;
        this.primary = primary;
        this.maxConnections = maxConnections;
    }

    /** Returns the entry that the platform lists. */
    public Endpoint entry(String group, String dataCentre, long revision) {
        return entry(group, dataCentre, false, revision);
    }

    /** Returns the entry that the platform lists of an endpoint that may have announced that it stops. */
    public Endpoint entry(String group, String dataCentre, boolean draining, long revision) {
        return new Endpoint(
                id,
                group,
                "10.0.0." + id.substring(1),
                1000,
                dataCentre,
                draining,
                primary,
                bornMillis,
                0,
                new StorePosition(0, revision));
    }

    /** Returns the identifiers of the callers' statements that were executed, in order. */
    public List<String> executedStatements() {
        return List.copyOf(executedStatements);
    }

    /** Whether a statement was executed outside a transaction, so that its effect was kept at once. */
    public boolean executedAlone(String statementId) {
        return executedAlone.contains(statementId);
    }

    /** Returns the session values under which a statement was executed. */
    public Map<String, String> sessionValues(String statementId) {
        return valuesByStatement.get(statementId);
    }

    /** Returns the number of connections opened so far. */
    public int openedConnections() {
        return openedConnections;
    }

    /** Returns the number of connections open now. */
    public int openConnections() {
        return links.size();
    }

    /** Returns the log position. */
    public LogPosition position() {
        return position;
    }

    /** Decodes the row with which a fake endpoint replies to a status query. */
    public static Option<ReplicationStatus> decodeStatus(String row) {
        String[] fields = row.split(" ", -1);
        long term = Long.parseLong(fields[1]);
        return Option.some(new ReplicationStatus(
                Boolean.parseBoolean(fields[0]), term, new LogPosition(term, Long.parseLong(fields[2]))));
    }

    /** Returns the identifier. */
    public String id() {
        return id;
    }

    /** Whether the endpoint is the primary. */
    public boolean isPrimary() {
        return primary;
    }

    /** Whether the endpoint receives nothing until it is resumed or promoted. */
    public boolean isPaused() {
        return paused;
    }

    /** Lets the endpoint receive again, as a promotion does. */
    public void endPause() {
        paused = false;
    }

    /** Sets the log position. */
    public void setPosition(LogPosition next) {
        position = next;
    }

    /** Makes the endpoint the primary or a replica. */
    public void setPrimary(boolean isPrimary) {
        primary = isPrimary;
    }

    /** Sets the time that a read or write takes, milliseconds. */
    public void setWorkMillis(long millis) {
        workMillis = millis;
    }

    /** Sets the time that the start of a transaction takes, milliseconds. */
    public void setStartMillis(long millis) {
        startMillis = millis;
    }

    /** Refuses reads and writes as overloaded. */
    public void setOverloaded(boolean refuse) {
        overloaded = refuse;
    }

    /** Ignores all connections and commands without a reply. */
    public void setUnresponsive(boolean ignoreCommands) {
        unresponsive = ignoreCommands;
    }

    /** Refuses connections as if other VMs used up its limit. */
    public void setConnectionsExhausted(boolean refuse) {
        connectionsExhausted = refuse;
    }

    /** Refuses connections as if another process now used its address. */
    public void setMisrouted(boolean otherProcess) {
        misrouted = otherProcess;
    }

    /** Returns the number of connection attempts so far. */
    public int connectAttempts() {
        return connectAttempts;
    }

    /** Returns the number of connections refused so far because the limit was reached. */
    public int rejectedConnections() {
        return rejectedConnections;
    }

    /** Crashes the process: connections break and none can be opened. */
    public void crash() {
        running = false;
        breakConnections();
    }

    /** Ends the process and starts it again under its name, without its log and its pause. */
    public void startAfresh() {
        breakConnections();
        bornMillis++;
        paused = false;
        position = LogPosition.ZERO;
    }

    /** Accepts connections again. */
    public void restart() {
        running = true;
    }

    /** Breaks all connections. */
    public void breakConnections() {
        List.copyOf(links).forEach(link -> {
            links.remove(link);
            loop.execute(link.listener::closed);
        });
    }

    /** Makes all open connections silent for good, without a reset; new ones work. */
    public void silenceOpenConnections() {
        links.forEach(link -> link.silent = true);
    }

    /** Returns the number of silent connections that the VM has not closed. */
    public long silentConnections() {
        return links.stream().filter(link -> link.silent).count();
    }

    /** Loses the session values and prepared statements of all connections. */
    public void loseSessionState() {
        links.forEach(Link::reset);
    }

    /** Returns the greatest number of statements that are prepared on one connection. */
    public int preparedStatements() {
        return links.stream().mapToInt(link -> link.prepared.size()).max().orElse(0);
    }

    /** Returns the number of commands refused because their transaction had failed. */
    public int commandsInFailedTransactions() {
        return commandsInFailedTransactions;
    }

    /** Keeps a copy of each reply to the commands selected from now on, for {@link #sendRepeats}. */
    public void repeatRepliesTo(Predicate<EndpointCommand> selected) {
        repeated = selected;
    }

    /** Returns the number of commands that are received and not yet answered. */
    public int unansweredCommands() {
        return unansweredCommands;
    }

    /** Keeps a copy of each answer to the opening of a connection from now on, for {@link #sendRepeats}. */
    public void repeatOpenings() {
        repeatsOpenings = true;
    }

    /** Answers, in any phase of a connection, a fraction of the commands twice, for the second time at a later time. */
    public void stutter(SplittableRandom random, double ratio, long maxDelayMillis) {
        stutter = Option.some(new Stutter(random, ratio, maxDelayMillis));
    }

    /** Refuses to start transactions as overloaded. */
    public void setRefusesTransactions(boolean refuse) {
        refusesTransactions = refuse;
    }

    /** Runs the commands that were received before their connection was closed, as they wait in its receive buffer. */
    public void runAfterClose() {
        runsAfterClose = true;
    }

    /** Refuses to set the next session value as overloaded. */
    public void refuseNextValue() {
        valuesToRefuse = 1;
    }

    /** Answers the selected commands for a second time, on the connections that are still open, and selects no more. */
    public void sendRepeats() {
        repeated = command -> false;
        repeatsOpenings = false;
        List<Runnable> sent = List.copyOf(repeats);
        repeats.clear();
        sent.forEach(loop::execute);
    }

    /** Opens a connection. */
    public EndpointLink connect(Account account, EndpointLink.Listener listener) {
        connectAttempts++;
        Link link = new Link(listener);
        if (unresponsive) {
            return link;
        }
        loop.schedule(CONNECT_DELAY_MILLIS, () -> {
            if (!running) {
                listener.notListening();
            } else if (misrouted) {
                listener.refused(ErrorCode.MISROUTED);
            } else if (connectionsExhausted || links.size() >= maxConnections) {
                rejectedConnections++;
                listener.refused(ErrorCode.TOO_MANY_CONNECTIONS);
            } else if (!link.closed) {
                links.add(link);
                openedConnections++;
                LogPosition atOpening = position;
                link.deliver(() -> listener.opened(Option.some(atOpening)), repeatsOpenings);
            }
        });
        return link;
    }

    /** Decides which answers are repeated, and when. */
    private record Stutter(SplittableRandom random, double ratio, long maxDelayMillis) {

        boolean occurs() {
            return random.nextDouble() < ratio;
        }

        long delayMillis() {
            return random.nextLong(maxDelayMillis + 1);
        }
    }

    private final class Link implements EndpointLink {

        private final Listener listener;
        private final Set<PreparedShape> prepared = new HashSet<>();
        private final Map<String, String> values = new HashMap<>();
        private TransactionStatus status = TransactionStatus.IDLE;
        private boolean closed;
        private boolean silent;
        private boolean readWrite;
        private boolean wrote;
        private long freeAtMillis;

        Link(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void send(List<EndpointCommand> commands) {
            if (unresponsive || silent) {
                return;
            }
            for (EndpointCommand command : commands) {
                boolean runsStatement =
                        command instanceof EndpointCommand.Forward || command instanceof EndpointCommand.Execute;
                freeAtMillis = Math.max(freeAtMillis, loop.nowMillis())
                        + REPLY_DELAY_MILLIS
                        + (runsStatement ? workMillis : 0)
                        + (command instanceof EndpointCommand.Begin ? startMillis : 0);
                unansweredCommands++;
                loop.schedule(freeAtMillis - loop.nowMillis(), () -> {
                    unansweredCommands--;
                    answer(command);
                });
            }
        }

        @Override
        public void close() {
            closed = true;
            links.remove(this);
        }

        private void answer(EndpointCommand command) {
            if (closed && runsAfterClose) {
                run(command);
                return;
            }
            if (closed || !links.contains(this) || unresponsive || silent) {
                return;
            }
            StatementOutcome outcome = run(command);
            if (outcome instanceof StatementOutcome.Failed && status == TransactionStatus.OPEN) {
                status = TransactionStatus.FAILED;
            }
            Reply reply = new Reply(rows(command), outcome, status, Option.some(position));
            deliver(() -> listener.replied(reply), repeated.test(command));
        }

        /** Delivers an answer, and again later if it is to be repeated. */
        private void deliver(Runnable answer, boolean repeat) {
            Runnable again = () -> {
                if (!closed && links.contains(this)) {
                    answer.run();
                }
            };
            if (repeat) {
                repeats.add(again);
            }
            stutter.filter(Stutter::occurs).forEach(occurring -> loop.schedule(occurring.delayMillis(), again));
            answer.run();
        }

        private List<String> rows(EndpointCommand command) {
            return command.reportsStatus()
                    ? List.of(primary + " " + position.term() + " " + position.offset())
                    : List.of();
        }

        private void reset() {
            prepared.clear();
            values.clear();
        }

        private StatementOutcome run(EndpointCommand command) {
            if (status == TransactionStatus.FAILED && !(command instanceof EndpointCommand.Rollback)) {
                commandsInFailedTransactions++;
                return failed(ErrorCode.MALFORMED);
            }
            if (command instanceof EndpointCommand.StepDown stepDown) {
                primary &= stepDown.term() <= position.term();
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.Pause pause) {
                paused |= !primary && pause.term() > position.term();
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.Resume) {
                paused = false;
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
                reset();
                return StatementOutcome.Success.LOCAL;
            }
            if (command instanceof EndpointCommand.SetValue set) {
                if (valuesToRefuse > 0) {
                    valuesToRefuse--;
                    return failed(ErrorCode.OVERLOADED);
                }
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
            if (refusesTransactions) {
                return failed(ErrorCode.OVERLOADED);
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
            if (overloaded) {
                return failed(ErrorCode.OVERLOADED);
            }
            boolean open = status == TransactionStatus.OPEN;
            if ((write || (open && readWrite)) && !primary && !text.startsWith("COMMIT")) {
                return failed(ErrorCode.READ_ONLY);
            }
            if (floor.exists(needed -> needed.compareTo(position) > 0)) {
                return failed(ErrorCode.LAGGING);
            }
            executedStatements.add(statementId);
            if (!open) {
                executedAlone.add(statementId);
            }
            valuesByStatement.put(statementId, Map.copyOf(values));
            wrote |= write;
            if (text.startsWith("COMMIT") || (write && !open)) {
                status = TransactionStatus.IDLE;
                position = wrote ? new LogPosition(position.term(), position.offset() + 1) : position;
                wrote = false;
            }
            return new StatementOutcome.Success("signed." + id + "." + statementId + "." + executedStatements.size());
        }

        private StatementOutcome failed(ErrorCode code) {
            return new StatementOutcome.Failed(code, id);
        }
    }
}
