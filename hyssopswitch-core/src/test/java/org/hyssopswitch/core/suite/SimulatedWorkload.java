package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.Selection;
import org.hyssopswitch.core.session.SelectionRequest;

/** Sessions that write and read through the selector, the homes and the commit confirmation, and roam between VMs. */
final class SimulatedWorkload {

    private static final int SESSIONS = 12;
    private static final long MAX_THINK_MILLIS = 40;
    private static final long NEW_CALLER_DELAY_MILLIS = 250;
    private static final long FLOOR_TIMEOUT_MILLIS = 1_500;
    private static final long OPERATION_TIMEOUT_MILLIS = 3_500;
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 2_000;
    private static final RouteDeclaration WRITE = RouteDeclaration.undeclared(SimulatedCluster.DATABASE);
    private static final RouteDeclaration LATEST =
            new RouteDeclaration(new RouteId("latest"), SimulatedCluster.DATABASE, true, 0, true, false);
    private static final RouteDeclaration LOOKUP =
            new RouteDeclaration(new RouteId("lookup"), SimulatedCluster.DATABASE, true, 1_000, true, false);

    private final SimulatedCluster cluster;
    private final SplittableRandom random;
    private final List<Session> sessions = new ArrayList<>();
    private final Map<Long, Operation> openOperations = new LinkedHashMap<>();
    private final Map<Long, Operation> operationsAwaitingFloor = new HashMap<>();
    private final Map<Long, UnconfirmedAnswer> unconfirmedAnswers = new HashMap<>();
    private long lastNumber;
    private int lastWrite;
    private int lastSession = SESSIONS;
    private boolean stopped;

    SimulatedWorkload(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.random = cluster.random.split();
        for (int i = 0; i < SESSIONS; i++) {
            sessions.add(new Session(i));
        }
    }

    void stop() {
        stopped = true;
    }

    void tick() {
        List.copyOf(openOperations.values()).forEach(this::advance);
        if (!stopped) {
            sessions.replaceAll(this::replaceIfBlocked);
            sessions.stream()
                    .filter(s -> !s.busy && cluster.now() >= s.nextMillis)
                    .forEach(this::startOperation);
        }
    }

    void handleVmKilled(SimulatedVm vm) {
        List.copyOf(openOperations.values()).stream()
                .filter(operation -> operation.entry == vm || vm.address.equals(operation.home))
                .forEach(operation -> handleLostVm(operation, operation.entry == vm));
        unconfirmedAnswers.values().removeIf(h -> h.home == vm);
    }

    void handleMessage(SimulatedVm vm, VmAddress from, Message message) {
        if (message instanceof Execute execute) {
            handleExecute(vm, from, execute);
        } else if (message instanceof Answer answer) {
            Operation operation = openOperations.get(answer.number);
            if (operation != null && operation.attempt == answer.attempt && operation.entry == vm) {
                handleAnswer(operation, answer);
            }
        }
    }

    void handleCommitResolved(SimulatedVm vm, long ticket, boolean confirmed) {
        UnconfirmedAnswer waiting = unconfirmedAnswers.remove(ticket);
        if (waiting != null && waiting.home == vm) {
            reply(vm, waiting.to, confirmed ? waiting.answer : waiting.answer.withResult(Result.UNKNOWN));
        }
    }

    void handleFloorResolved(long ticket, Optional<LogPosition> floor) {
        Operation operation = operationsAwaitingFloor.remove(ticket);
        if (operation != null && openOperations.containsKey(operation.number)) {
            operation.session.floor = floor;
            operation.waitsForFloor = false;
        }
    }

    /**
     * Opens a new session in place of one whose operation has been pending too long: callers arrive whether or not
     * others wait.
     */
    private Session replaceIfBlocked(Session session) {
        boolean blocked = session.busy && cluster.now() - session.operationStartedMillis > NEW_CALLER_DELAY_MILLIS;
        return blocked ? new Session(++lastSession) : session;
    }

    private void startOperation(Session session) {
        session.operationStartedMillis = cluster.now();
        boolean roams = session.entry == null || session.entry.killed || random.nextInt(4) == 0;
        if (roams) {
            session.entry = cluster.vms.get(random.nextInt(cluster.vms.size()));
            if (random.nextInt(3) == 0) {
                session.floor = cluster.mutation == ProtocolMutation.GUESS_FLOOR
                        ? Optional.of(LogPosition.ZERO)
                        : Optional.empty();
            }
        }
        session.busy = true;
        RouteDeclaration route =
                List.of(WRITE, WRITE, LATEST, LOOKUP, LOOKUP, LOOKUP).get(random.nextInt(6));
        int write = route.equals(WRITE) ? ++lastWrite : SimulatedEndpoint.NO_WRITE;
        Operation operation = new Operation(++lastNumber, session, route, write, cluster.now());
        openOperations.put(operation.number, operation);
        if (route.equals(LOOKUP) && session.floor.isEmpty()) {
            requestFloor(operation);
        }
    }

    private void requestFloor(Operation operation) {
        operation.waitsForFloor = true;
        operationsAwaitingFloor.put(operation.number, operation);
        long deadline = cluster.now() + FLOOR_TIMEOUT_MILLIS;
        operation.entry.run(
                () -> operation.entry.decide(out -> operation
                        .entry
                        .systems
                        .floors()
                        .request(operation.number, SimulatedCluster.DATABASE, deadline, cluster.now(), out)),
                true);
    }

    private void advance(Operation operation) {
        if (cluster.now() - operation.startedMillis >= OPERATION_TIMEOUT_MILLIS) {
            finish(operation, operation.sent ? Result.UNKNOWN : Result.NOT_RUN, null);
        } else if (!operation.sent && !operation.waitsForFloor && cluster.now() >= operation.retryMillis) {
            operation.entry.run(() -> dispatch(operation), false);
        }
    }

    private void dispatch(Operation operation) {
        boolean ignoresFloor = cluster.mutation == ProtocolMutation.IGNORE_FLOOR;
        LogPosition floor = ignoresFloor ? LogPosition.ZERO : operation.session.floor.orElse(LogPosition.ZERO);
        Selection selection = operation
                .entry
                .systems
                .selector()
                .select(
                        new SelectionRequest(
                                operation.effectiveRoute(), floor, operation.triedEndpoints, operation.startedMillis),
                        cluster.now());
        if (selection instanceof Selection.Wait wait) {
            operation.retryMillis = wait.retryAtMillis();
        } else if (selection instanceof Selection.Unavailable) {
            finish(operation, Result.NOT_RUN, null);
        } else if (selection instanceof Selection.Use use) {
            operation.confirm = use.confirm();
            forward(operation, use.endpoint());
        }
    }

    private void forward(Operation operation, EndpointId endpoint) {
        Optional<VmAddress> home = operation.entry.systems.endpoints().declaration(endpoint).stream()
                .flatMap(e -> operation.entry.systems.homes().homes(e).stream())
                .findFirst();
        if (home.isEmpty()) {
            operation.retryMillis = cluster.now() + 20;
            return;
        }
        operation.home = home.get();
        operation.endpoint = endpoint;
        operation.sent = true;
        operation.attempt++;
        Execute message = new Execute(
                operation.number, operation.attempt, endpoint, operation.kind(), operation.confirm, operation.write);
        if (operation.home.equals(operation.entry.address)) {
            handleExecute(operation.entry, operation.home, message);
        } else {
            cluster.send(operation.entry.address, operation.home, message);
        }
    }

    private void handleExecute(SimulatedVm home, VmAddress from, Execute execute) {
        SimulatedEndpoint endpoint = cluster.endpoints.get(execute.endpoint);
        Answer refused = new Answer(execute.number, execute.attempt, Result.NOT_RUN, LogPosition.ZERO, new BitSet());
        boolean isHome = home.systems.endpoints().declaration(execute.endpoint).stream()
                .anyMatch(e -> home.systems.homes().homes(e).contains(home.address));
        if (!isHome || endpoint.crashed) {
            reply(home, from, refused);
            return;
        }
        cluster.scheduleAfter(1 + endpoint.answerDelayMillis, () -> {
            if (!home.killed && !endpoint.crashed) {
                home.run(() -> runAtEndpoint(home, from, execute, endpoint, refused), true);
            }
        });
    }

    private void runAtEndpoint(
            SimulatedVm home, VmAddress from, Execute execute, SimulatedEndpoint endpoint, Answer refused) {
        cluster.history.add(new History.TransactionStarted(cluster.now(), endpoint.id));
        Optional<LogPosition> position = execute.kind == Kind.WRITE
                ? endpoint.commit(execute.write, cluster.now())
                : Optional.of(endpoint.status(cluster.now()).applied());
        if (position.isEmpty()) {
            reply(home, from, refused);
            return;
        }
        Answer answer =
                new Answer(execute.number, execute.attempt, Result.DONE, position.get(), endpoint.visibleWrites());
        home.systems.endpoints().observeApplied(endpoint.id, position.get());
        boolean skipsConfirmation = !execute.confirm
                || (execute.kind != Kind.WRITE && cluster.mutation == ProtocolMutation.UNCONFIRMED_LATEST_READS)
                || cluster.mutation == ProtocolMutation.ACKNOWLEDGE_WITHOUT_MAJORITY;
        if (skipsConfirmation) {
            reply(home, from, answer);
            return;
        }
        long ticket = ++lastNumber;
        unconfirmedAnswers.put(ticket, new UnconfirmedAnswer(home, from, answer));
        long deadline = cluster.now() + CONFIRMATION_TIMEOUT_MILLIS;
        home.decide(out ->
                home.systems.confirmer().confirm(ticket, endpoint.id, position.get(), deadline, cluster.now(), out));
    }

    private void reply(SimulatedVm home, VmAddress to, Answer answer) {
        if (to.equals(home.address)) {
            handleMessage(home, to, answer);
        } else {
            cluster.send(home.address, to, answer);
        }
    }

    private void handleAnswer(Operation operation, Answer answer) {
        if (answer.result == Result.DONE) {
            finish(operation, Result.DONE, answer);
        } else if (answer.result == Result.NOT_RUN || operation.kind() != Kind.WRITE) {
            retry(operation, 20);
        } else {
            handleUnknownOutcome(operation);
        }
    }

    private void handleLostVm(Operation operation, boolean entryKilled) {
        if (entryKilled) {
            finish(operation, operation.sent ? Result.UNKNOWN : Result.NOT_RUN, null);
        } else if (operation.sent && operation.kind() == Kind.WRITE) {
            handleUnknownOutcome(operation);
        } else if (operation.sent) {
            retry(operation, 20);
        }
    }

    private void handleUnknownOutcome(Operation operation) {
        if (cluster.mutation == ProtocolMutation.REPEAT_UNKNOWN_WRITES) {
            retry(operation, 20);
        } else {
            finish(operation, Result.UNKNOWN, null);
        }
    }

    private void retry(Operation operation, long delayMillis) {
        operation.sent = false;
        operation.attempt++;
        operation.retryMillis = cluster.now() + delayMillis;
        if (operation.kind() == Kind.BOUNDED_STALENESS) {
            operation.triedEndpoints.add(operation.endpoint);
        }
    }

    private void finish(Operation operation, Result result, Answer answer) {
        openOperations.remove(operation.number);
        operation.session.busy = false;
        operation.session.nextMillis = cluster.now() + random.nextLong(MAX_THINK_MILLIS);
        long now = cluster.now();
        if (operation.kind() == Kind.WRITE && result == Result.DONE) {
            operation.session.floor =
                    Optional.of(operation.session.floor.orElse(LogPosition.ZERO).max(answer.position));
            cluster.history.add(new History.WriteAcknowledged(
                    now, operation.write, operation.session.number, answer.position.term()));
        } else if (operation.kind() == Kind.WRITE) {
            boolean notRun = result == Result.NOT_RUN || cluster.mutation == ProtocolMutation.CLAIM_NOT_RUN;
            cluster.history.add(new History.WriteNotAcknowledged(now, operation.write, notRun));
        } else if (result == Result.DONE) {
            if (operation.session.floor.isEmpty() && operation.confirm) {
                operation.session.floor = Optional.of(answer.position);
            }
            cluster.history.add(new History.ReadCompleted(
                    now,
                    operation.startedMillis,
                    operation.session.number,
                    operation.route.maxAgeMillis(),
                    operation.endpoint,
                    answer.visibleWrites));
        } else {
            cluster.history.add(new History.ReadFailed(now, operation.session.number));
        }
    }

    enum Kind {
        WRITE,
        LATEST,
        BOUNDED_STALENESS
    }

    enum Result {
        DONE,
        NOT_RUN,
        UNKNOWN
    }

    /** A message between the workload's VMs, apart from the messages of the decision systems. */
    sealed interface Message extends PeerMessage {}

    record Execute(long number, int attempt, EndpointId endpoint, Kind kind, boolean confirm, int write)
            implements Message {}

    record Answer(long number, int attempt, Result result, LogPosition position, BitSet visibleWrites)
            implements Message {
        Answer withResult(Result newResult) {
            return new Answer(number, attempt, newResult, position, visibleWrites);
        }
    }

    private record UnconfirmedAnswer(SimulatedVm home, VmAddress to, Answer answer) {}

    private static final class Session {
        private final int number;
        private SimulatedVm entry;
        private Optional<LogPosition> floor = Optional.of(LogPosition.ZERO);
        private boolean busy;
        private long operationStartedMillis;
        private long nextMillis = 500;

        private Session(int number) {
            this.number = number;
        }
    }

    private static final class Operation {
        private final long number;
        private final Session session;
        private final SimulatedVm entry;
        private final RouteDeclaration route;
        private final int write;
        private final long startedMillis;
        private final Set<EndpointId> triedEndpoints = new HashSet<>();
        private VmAddress home;
        private EndpointId endpoint;
        private boolean sent;
        private boolean confirm;
        private boolean waitsForFloor;
        private int attempt;
        private long retryMillis;

        private Operation(long number, Session session, RouteDeclaration route, int write, long startedMillis) {
            this.number = number;
            this.session = session;
            this.entry = session.entry;
            this.route = route;
            this.write = write;
            this.startedMillis = startedMillis;
        }

        /** A session without a known floor reads the latest data. */
        private RouteDeclaration effectiveRoute() {
            return session.floor.isEmpty() && route.equals(LOOKUP) ? LATEST : route;
        }

        private Kind kind() {
            if (route.equals(WRITE)) {
                return Kind.WRITE;
            }
            return route.equals(LATEST) ? Kind.LATEST : Kind.BOUNDED_STALENESS;
        }
    }
}
