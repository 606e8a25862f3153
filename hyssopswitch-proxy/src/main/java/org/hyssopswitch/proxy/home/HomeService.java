package org.hyssopswitch.proxy.home;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.CancelCycle;
import org.hyssopswitch.proxy.forward.CloseStream;
import org.hyssopswitch.proxy.forward.ContinueCycle;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.GrantCredit;
import org.hyssopswitch.proxy.net.DecisionLoop;
import org.hyssopswitch.proxy.net.FrameNetwork;

/** The homes of one VM: one for each endpoint that the placement assigns to it. Confined to the decision thread. */
public final class HomeService {

    private static final Logger LOG = LogManager.getLogger(HomeService.class);

    private final HomeOptions options;
    private final HomeCollaborators collaborators;
    private final HomeContext context;
    private final Confirmations confirmations = new Confirmations();
    private final Map<EndpointId, EndpointHome> homes = new HashMap<>();
    private final Map<EndpointId, ControlLines> lines = new HashMap<>();
    private List<OwnEndpoint> ownCell = List.of();

    /**
     * Creates a service that is home to nothing.
     *
     * @param loop the decision thread
     * @param network opens connections to endpoints
     * @param options how this VM acts as home
     * @param collaborators what it needs of the rest of the VM
     */
    public HomeService(DecisionLoop loop, FrameNetwork network, HomeOptions options, HomeCollaborators collaborators) {
        this.options = options;
        this.collaborators = collaborators;
        this.context = new HomeContext(
                loop,
                network,
                options.random(),
                options.users(),
                options.application(),
                () -> collaborators.queues().create(),
                collaborators.confirmer(),
                collaborators.actions(),
                collaborators.sender()::accept);
    }

    /**
     * Takes a configuration into force.
     *
     * @param next the configuration
     */
    public void configure(Configuration next) {
        ownCell = next.databases().values().stream()
                .flatMap(d -> d.endpoints().stream().map(e -> new OwnEndpoint(d, e)))
                .filter(o -> o.endpoint().cell().equals(options.self().cell()))
                .toList();
        place();
    }

    /** Runs periodic work: placement, queue deadlines and connections. */
    public void tick() {
        place();
        homes.values().forEach(EndpointHome::tick);
        homes.values().stream()
                .filter(h -> collaborators.replaced().test(h.endpoint().id()))
                .forEach(EndpointHome::replaced);
    }

    /**
     * Handles a message if it concerns homes.
     *
     * @param from the entry VM
     * @param message the message
     */
    public void messageReceived(VmAddress from, PeerMessage message) {
        if (message instanceof ExecuteCycle cycle) {
            execute(new StreamKey(from, cycle.stream()), cycle);
        } else if (message instanceof ContinueCycle part) {
            homes.values().forEach(h -> h.more(new StreamKey(from, part.stream()), part));
        } else if (message instanceof GrantCredit credit) {
            homes.values().forEach(h -> h.granted(new StreamKey(from, credit.stream()), credit.bytes()));
        } else if (message instanceof CancelCycle cancel) {
            homes.values().forEach(h -> h.cancel(new StreamKey(from, cancel.stream()), cancel.sequence()));
        } else if (message instanceof CloseStream close) {
            homes.values().forEach(h -> h.close(new StreamKey(from, close.stream())));
        }
    }

    /**
     * Rolls back the streams of an entry VM, whose answers may be lost.
     *
     * @param entry the entry VM
     */
    public void linkFailed(VmAddress entry) {
        homes.values().forEach(h -> h.entryLost(entry));
    }

    /**
     * Makes a control call.
     *
     * @param call the call
     * @param target takes the answer
     */
    public void call(Action.CallEndpoint call, Consumer<Event> target) {
        ControlLines line = lines.get(call.endpoint());
        if (line == null) {
            answer(call, Either.left(new ControlFailure.NotHome(call.endpoint())), target);
            return;
        }
        line.call(call.request(), call.timeoutMillis(), result -> answer(call, result, target));
    }

    /**
     * Ends the wait of an answer for its confirmation.
     *
     * @param resolution the outcome
     */
    public void resolve(Action.ResolveCommit resolution) {
        confirmations.resolve(resolution.ticket(), resolution.confirmed());
    }

    /** The state of each endpoint that this VM is home to. */
    public List<HomeStatus> statuses() {
        return homes.values().stream().map(EndpointHome::describe).toList();
    }

    /**
     * Statements that run or wait at an endpoint.
     *
     * @param endpoint the endpoint
     */
    public int load(EndpointId endpoint) {
        return Option.of(homes.get(endpoint)).map(EndpointHome::streams).getOrElse(0);
    }

    /** Tells whether no stream is left. */
    public boolean idle() {
        return homes.values().stream().allMatch(EndpointHome::drained);
    }

    /** Closes all connections; open transactions are rolled back. */
    public void close() {
        homes.values().forEach(EndpointHome::shutdown);
        lines.values().forEach(ControlLines::close);
        homes.clear();
        lines.clear();
    }

    private void execute(StreamKey key, ExecuteCycle cycle) {
        EndpointHome home = homes.get(cycle.facts().endpoint());
        if (home == null) {
            AnswerState state = cycle.sequence() == 1 ? AnswerState.NOT_RUN : AnswerState.UNKNOWN;
            new HomeStream(key, context.replies(), cycle, 0).fail(state, 0, "the VM is not home to the endpoint");
            return;
        }
        home.execute(key, cycle);
    }

    private void answer(Action.CallEndpoint call, Either<ControlFailure, ControlReply> result, Consumer<Event> target) {
        result.forEach(r -> Option.of(homes.get(call.endpoint())).forEach(h -> h.reported(r.status())));
        target.accept(new Event.EndpointCallCompleted(call.call(), call.endpoint(), result));
    }

    /** Opens the homes that the placement assigns to this VM and drains the others. */
    private void place() {
        Map<EndpointId, EndpointDeclaration> mine = new HashMap<>();
        ownCell.forEach(o -> place(o.database(), o.endpoint(), mine));
        for (EndpointHome home : new ArrayList<>(homes.values())) {
            if (!home.endpoint().equals(mine.get(home.endpoint().id()))) {
                leave(home);
            }
        }
    }

    private void place(
            DatabaseDeclaration database, EndpointDeclaration endpoint, Map<EndpointId, EndpointDeclaration> mine) {
        int rank = collaborators.resolver().homes(endpoint).indexOf(options.self());
        if (rank < 0) {
            return;
        }
        mine.put(endpoint.id(), endpoint);
        EndpointHome home = homes.get(endpoint.id());
        if (home == null) {
            home = new EndpointHome(context, database.id(), endpoint, confirmations, this::applied);
            homes.put(endpoint.id(), home);
            lines.put(endpoint.id(), new ControlLines(context, database.id(), endpoint));
            LOG.info("event=home_opened endpoint={} rank={}", endpoint.id(), rank);
        }
        home.resize(database.slots(), ConnectionShare.of(database.connections(), rank));
    }

    private void applied(EndpointId endpoint, LogPosition position) {
        collaborators.positions().accept(endpoint, position);
    }

    /** Closes a home once its streams have ended; its idle connections go at once to make room for the successor. */
    private void leave(EndpointHome home) {
        home.resize(1, 0);
        if (home.drained()) {
            EndpointId endpoint = home.endpoint().id();
            home.shutdown();
            homes.remove(endpoint);
            Option.of(lines.remove(endpoint)).forEach(ControlLines::close);
            LOG.info("event=home_closed endpoint={}", endpoint);
        }
    }

    /** An endpoint of this VM's cell; kept so that periodic work does not pass over all declared databases. */
    private record OwnEndpoint(DatabaseDeclaration database, EndpointDeclaration endpoint) {}

    /** The two control connections of an endpoint; waits have their own, so that they do not delay other calls. */
    private static final class ControlLines {

        private final ControlConnection orders;
        private final ControlConnection waits;

        ControlLines(HomeContext context, DatabaseId database, EndpointDeclaration e) {
            ConnectionSpec spec =
                    new ConnectionSpec(database, e, context.users().writer(), context.application());
            orders = new ControlConnection(
                    context.loop(), e.id(), owner -> new EndpointConnection(context.network(), spec, owner));
            waits = new ControlConnection(
                    context.loop(), e.id(), owner -> new EndpointConnection(context.network(), spec, owner));
        }

        void call(ControlRequest request, long timeout, Consumer<Either<ControlFailure, ControlReply>> target) {
            ControlConnection line = request instanceof ControlRequest.AwaitPosition ? waits : orders;
            line.call(request, timeout, target);
        }

        void close() {
            orders.close();
            waits.close();
        }
    }
}
