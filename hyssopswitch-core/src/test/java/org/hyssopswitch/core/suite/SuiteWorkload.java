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

/** Sessions that write and read through the selector, the homes and the confirmer, and roam between VMs. */
final class SuiteWorkload {

    private static final int SESSIONS = 12;
    private static final long THINK_MILLIS = 40;
    private static final long NEW_CALLER_MILLIS = 250;
    private static final long FLOOR_MILLIS = 1_500;
    private static final long GIVE_UP_MILLIS = 3_500;
    private static final long CONFIRM_MILLIS = 2_000;
    private static final RouteDeclaration WRITE = RouteDeclaration.undeclared(SuiteCluster.DATABASE);
    private static final RouteDeclaration LATEST =
            new RouteDeclaration(new RouteId("latest"), SuiteCluster.DATABASE, true, 0, true, false);
    private static final RouteDeclaration LOOKUP =
            new RouteDeclaration(new RouteId("lookup"), SuiteCluster.DATABASE, true, 1_000, true, false);

    private final SuiteCluster cluster;
    private final SplittableRandom random;
    private final List<Session> sessions = new ArrayList<>();
    private final Map<Long, Operation> open = new LinkedHashMap<>();
    private final Map<Long, Operation> floors = new HashMap<>();
    private final Map<Long, Held> held = new HashMap<>();
    private long lastNumber;
    private int lastWrite;
    private int lastSession = SESSIONS;
    private boolean stopped;

    SuiteWorkload(SuiteCluster cluster) {
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
        List.copyOf(open.values()).forEach(this::advance);
        if (!stopped) {
            sessions.replaceAll(this::orNewCaller);
            sessions.stream()
                    .filter(s -> !s.busy && cluster.now() >= s.nextMillis)
                    .forEach(this::begin);
        }
    }

    void vmDied(SuiteVm vm) {
        List.copyOf(open.values()).stream()
                .filter(o -> o.entry == vm || vm.address.equals(o.home))
                .forEach(o -> broken(o, o.entry == vm));
        held.values().removeIf(h -> h.home == vm);
    }

    void received(SuiteVm vm, VmAddress from, Message message) {
        if (message instanceof Execute execute) {
            execute(vm, from, execute);
        } else if (message instanceof Answer answer) {
            Operation operation = open.get(answer.number);
            if (operation != null && operation.attempt == answer.attempt && operation.entry == vm) {
                answered(operation, answer);
            }
        }
    }

    void resolved(SuiteVm vm, long ticket, boolean confirmed) {
        Held waiting = held.remove(ticket);
        if (waiting != null && waiting.home == vm) {
            reply(vm, waiting.to, confirmed ? waiting.answer : waiting.answer.as(Result.UNKNOWN));
        }
    }

    void floorFound(long ticket, Optional<LogPosition> floor) {
        Operation operation = floors.remove(ticket);
        if (operation != null && open.containsKey(operation.number)) {
            operation.session.floor = floor;
            operation.waitsForFloor = false;
        }
    }

    /** Callers arrive whether or not others wait, so a session that waits long is joined by a new one. */
    private Session orNewCaller(Session session) {
        boolean stuck = session.busy && cluster.now() - session.begunMillis > NEW_CALLER_MILLIS;
        return stuck ? new Session(++lastSession) : session;
    }

    private void begin(Session session) {
        session.begunMillis = cluster.now();
        boolean roams = session.entry == null || session.entry.dead || random.nextInt(4) == 0;
        if (roams) {
            session.entry = cluster.vms.get(random.nextInt(cluster.vms.size()));
            if (random.nextInt(3) == 0) {
                session.floor =
                        cluster.mutation == Mutation.GUESS_FLOOR ? Optional.of(LogPosition.ZERO) : Optional.empty();
            }
        }
        session.busy = true;
        RouteDeclaration route =
                List.of(WRITE, WRITE, LATEST, LOOKUP, LOOKUP, LOOKUP).get(random.nextInt(6));
        int write = route.equals(WRITE) ? ++lastWrite : FakeEndpoint.NO_WRITE;
        Operation operation = new Operation(++lastNumber, session, route, write, cluster.now());
        open.put(operation.number, operation);
        if (route.equals(LOOKUP) && session.floor.isEmpty()) {
            requestFloor(operation);
        }
    }

    private void requestFloor(Operation o) {
        o.waitsForFloor = true;
        floors.put(o.number, o);
        long deadline = cluster.now() + FLOOR_MILLIS;
        o.entry.run(
                () -> o.entry.decide(out -> o.entry
                        .systems
                        .floors()
                        .request(o.number, SuiteCluster.DATABASE, deadline, cluster.now(), out)),
                true);
    }

    private void advance(Operation o) {
        if (cluster.now() - o.startedMillis >= GIVE_UP_MILLIS) {
            finish(o, o.sent ? Result.UNKNOWN : Result.NOT_RUN, null);
        } else if (!o.sent && !o.waitsForFloor && cluster.now() >= o.retryMillis) {
            o.entry.run(() -> dispatch(o), false);
        }
    }

    private void dispatch(Operation o) {
        boolean ignore = cluster.mutation == Mutation.IGNORE_FLOOR;
        LogPosition floor = ignore ? LogPosition.ZERO : o.session.floor.orElse(LogPosition.ZERO);
        Selection selection = o.entry
                .systems
                .selector()
                .select(new SelectionRequest(o.effectiveRoute(), floor, o.tried, o.startedMillis), cluster.now());
        if (selection instanceof Selection.Wait wait) {
            o.retryMillis = wait.retryAtMillis();
        } else if (selection instanceof Selection.Unavailable) {
            finish(o, Result.NOT_RUN, null);
        } else if (selection instanceof Selection.Use use) {
            o.confirm = use.confirm();
            forward(o, use.endpoint());
        }
    }

    private void forward(Operation o, EndpointId endpoint) {
        Optional<VmAddress> home = o.entry.systems.endpoints().declaration(endpoint).stream()
                .flatMap(e -> o.entry.systems.homes().homes(e).stream())
                .findFirst();
        if (home.isEmpty()) {
            o.retryMillis = cluster.now() + 20;
            return;
        }
        o.home = home.get();
        o.endpoint = endpoint;
        o.sent = true;
        o.attempt++;
        Execute message = new Execute(o.number, o.attempt, endpoint, o.kind(), o.confirm, o.write);
        if (o.home.equals(o.entry.address)) {
            execute(o.entry, o.home, message);
        } else {
            cluster.send(o.entry.address, o.home, message);
        }
    }

    private void execute(SuiteVm home, VmAddress from, Execute execute) {
        FakeEndpoint endpoint = cluster.endpoints.get(execute.endpoint);
        Answer refused = new Answer(execute.number, execute.attempt, Result.NOT_RUN, LogPosition.ZERO, new BitSet());
        boolean mine = home.systems.endpoints().declaration(execute.endpoint).stream()
                .anyMatch(e -> home.systems.homes().homes(e).contains(home.address));
        if (!mine || endpoint.crashed) {
            reply(home, from, refused);
            return;
        }
        cluster.after(1 + endpoint.answerDelayMillis, () -> {
            if (!home.dead && !endpoint.crashed) {
                home.run(() -> runAt(home, from, execute, endpoint, refused), true);
            }
        });
    }

    private void runAt(SuiteVm home, VmAddress from, Execute execute, FakeEndpoint endpoint, Answer refused) {
        cluster.history.add(new History.Began(cluster.now(), endpoint.id));
        Optional<LogPosition> position = execute.kind == Kind.WRITE
                ? endpoint.commit(execute.write, cluster.now())
                : Optional.of(endpoint.status(cluster.now()).applied());
        if (position.isEmpty()) {
            reply(home, from, refused);
            return;
        }
        Answer answer = new Answer(execute.number, execute.attempt, Result.DONE, position.get(), endpoint.visible());
        home.systems.endpoints().observeApplied(endpoint.id, position.get());
        boolean skip = !execute.confirm
                || (execute.kind != Kind.WRITE && cluster.mutation == Mutation.UNCONFIRMED_LATEST_READS)
                || cluster.mutation == Mutation.ACKNOWLEDGE_WITHOUT_MAJORITY;
        if (skip) {
            reply(home, from, answer);
            return;
        }
        long ticket = ++lastNumber;
        held.put(ticket, new Held(home, from, answer));
        long deadline = cluster.now() + CONFIRM_MILLIS;
        home.decide(out ->
                home.systems.confirmer().confirm(ticket, endpoint.id, position.get(), deadline, cluster.now(), out));
    }

    private void reply(SuiteVm home, VmAddress to, Answer answer) {
        if (to.equals(home.address)) {
            received(home, to, answer);
        } else {
            cluster.send(home.address, to, answer);
        }
    }

    private void answered(Operation o, Answer answer) {
        if (answer.result == Result.DONE) {
            finish(o, Result.DONE, answer);
        } else if (answer.result == Result.NOT_RUN || o.kind() != Kind.WRITE) {
            retry(o, 20);
        } else {
            unknown(o);
        }
    }

    private void broken(Operation o, boolean entryDied) {
        if (entryDied) {
            finish(o, o.sent ? Result.UNKNOWN : Result.NOT_RUN, null);
        } else if (o.sent && o.kind() == Kind.WRITE) {
            unknown(o);
        } else if (o.sent) {
            retry(o, 20);
        }
    }

    private void unknown(Operation o) {
        if (cluster.mutation == Mutation.REPEAT_UNKNOWN_WRITES) {
            retry(o, 20);
        } else {
            finish(o, Result.UNKNOWN, null);
        }
    }

    private void retry(Operation o, long delayMillis) {
        o.sent = false;
        o.attempt++;
        o.retryMillis = cluster.now() + delayMillis;
        if (o.kind() == Kind.AGED) {
            o.tried.add(o.endpoint);
        }
    }

    private void finish(Operation o, Result result, Answer answer) {
        open.remove(o.number);
        o.session.busy = false;
        o.session.nextMillis = cluster.now() + random.nextLong(THINK_MILLIS);
        long now = cluster.now();
        if (o.kind() == Kind.WRITE && result == Result.DONE) {
            o.session.floor =
                    Optional.of(o.session.floor.orElse(LogPosition.ZERO).max(answer.position));
            cluster.history.add(new History.Acked(now, o.write, o.session.number, answer.position.term()));
        } else if (o.kind() == Kind.WRITE) {
            boolean notRun = result == Result.NOT_RUN || cluster.mutation == Mutation.CLAIM_NOT_RUN;
            cluster.history.add(new History.Unacked(now, o.write, notRun));
        } else if (result == Result.DONE) {
            if (o.session.floor.isEmpty() && o.confirm) {
                o.session.floor = Optional.of(answer.position);
            }
            cluster.history.add(new History.Read(
                    now, o.startedMillis, o.session.number, o.route.maxAgeMillis(), o.endpoint, answer.visible));
        } else {
            cluster.history.add(new History.ReadFailed(now, o.session.number));
        }
    }

    enum Kind {
        WRITE,
        LATEST,
        AGED
    }

    enum Result {
        DONE,
        NOT_RUN,
        UNKNOWN
    }

    /** A message of the data plane. */
    sealed interface Message extends PeerMessage {}

    record Execute(long number, int attempt, EndpointId endpoint, Kind kind, boolean confirm, int write)
            implements Message {}

    record Answer(long number, int attempt, Result result, LogPosition position, BitSet visible) implements Message {
        Answer as(Result other) {
            return new Answer(number, attempt, other, position, visible);
        }
    }

    private record Held(SuiteVm home, VmAddress to, Answer answer) {}

    private static final class Session {
        private final int number;
        private SuiteVm entry;
        private Optional<LogPosition> floor = Optional.of(LogPosition.ZERO);
        private boolean busy;
        private long begunMillis;
        private long nextMillis = 500;

        private Session(int number) {
            this.number = number;
        }
    }

    private static final class Operation {
        private final long number;
        private final Session session;
        private final SuiteVm entry;
        private final RouteDeclaration route;
        private final int write;
        private final long startedMillis;
        private final Set<EndpointId> tried = new HashSet<>();
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

        /** A session whose floor is not known reads the latest. */
        private RouteDeclaration effectiveRoute() {
            return session.floor.isEmpty() && route.equals(LOOKUP) ? LATEST : route;
        }

        private Kind kind() {
            if (route.equals(WRITE)) {
                return Kind.WRITE;
            }
            return route.equals(LATEST) ? Kind.LATEST : Kind.AGED;
        }
    }
}
