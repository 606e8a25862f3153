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
    private final ConfirmationCallbacks confirmations = new ConfirmationCallbacks();
    private final Map<EndpointId, EndpointHome> homes = new HashMap<>();
    private final Map<EndpointId, ControlConnections> controlConnections = new HashMap<>();
    private List<LocalEndpoint> localEndpoints = List.of();

    /**
     * Creates a service without homes; {@link #configure} opens them.
     *
     * @param loop the decision thread
     * @param network opens connections to endpoints
     * @param options options of the homes
     * @param collaborators components of the VM on which the homes depend
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
     * Applies a configuration.
     *
     * @param next the configuration
     */
    public void configure(Configuration next) {
        localEndpoints = next.databases().values().stream()
                .flatMap(d -> d.endpoints().stream().map(e -> new LocalEndpoint(d, e)))
                .filter(o -> o.endpoint().cell().equals(options.self().cell()))
                .toList();
        applyPlacement();
    }

    /**
     * Applies the placement, expires queued statements and idle transactions, maintains the connection pools, and fails
     * cycles at replaced primaries.
     */
    public void tick() {
        applyPlacement();
        homes.values().forEach(EndpointHome::tick);
        homes.values().stream()
                .filter(h -> collaborators.replaced().test(h.endpoint().id()))
                .forEach(EndpointHome::endPrimaryStreams);
    }

    /**
     * Handles a message between entry VMs and homes; ignores others.
     *
     * @param from the entry VM
     * @param message the message
     */
    public void messageReceived(VmAddress from, PeerMessage message) {
        if (message instanceof ExecuteCycle cycle) {
            execute(new StreamKey(from, cycle.stream()), cycle);
        } else if (message instanceof ContinueCycle part) {
            homes.values().forEach(h -> h.continueCycle(new StreamKey(from, part.stream()), part));
        } else if (message instanceof GrantCredit credit) {
            homes.values().forEach(h -> h.grantCredit(new StreamKey(from, credit.stream()), credit.bytes()));
        } else if (message instanceof CancelCycle cancel) {
            homes.values().forEach(h -> h.cancel(new StreamKey(from, cancel.stream()), cancel.sequence()));
        } else if (message instanceof CloseStream close) {
            homes.values().forEach(h -> h.close(new StreamKey(from, close.stream())));
        }
    }

    /**
     * Closes the streams of an entry VM whose link failed, because answers to it may have been lost.
     *
     * @param entry the entry VM
     */
    public void linkFailed(VmAddress entry) {
        homes.values().forEach(h -> h.closeStreamsOf(entry));
    }

    /**
     * Makes a control call.
     *
     * @param call the call
     * @param callback receives the {@link Event.EndpointCallCompleted}
     */
    public void call(Action.CallEndpoint call, Consumer<Event> callback) {
        ControlConnections connections = controlConnections.get(call.endpoint());
        if (connections == null) {
            answer(call, Either.left(new ControlFailure.NotHome(call.endpoint())), callback);
            return;
        }
        long reports = Option.of(homes.get(call.endpoint()))
                .map(EndpointHome::positionReports)
                .getOrElse(0L);
        connections.call(call.request(), call.timeoutMillis(), result -> {
            result.forEach(
                    r -> Option.of(homes.get(call.endpoint())).forEach(h -> h.updateStatus(r.status(), reports)));
            answer(call, result, callback);
        });
    }

    /**
     * Resolves the confirmation for which an answer is held.
     *
     * @param resolution ticket of the confirmation and its outcome
     */
    public void resolve(Action.ResolveCommit resolution) {
        confirmations.resolve(resolution.ticket(), resolution.confirmed());
    }

    /** Returns the status of each endpoint of which this VM is a home. */
    public List<HomeStatus> statuses() {
        return homes.values().stream().map(EndpointHome::homeStatus).toList();
    }

    /**
     * Returns the number of streams that run, wait or hold a transaction open at an endpoint.
     *
     * @param endpoint the endpoint
     */
    public int streamCount(EndpointId endpoint) {
        return Option.of(homes.get(endpoint)).map(EndpointHome::streamCount).getOrElse(0);
    }

    /** Whether no stream is left. */
    public boolean isIdle() {
        return homes.values().stream().allMatch(EndpointHome::isDrained);
    }

    /** Closes all connections; open transactions are rolled back. */
    public void close() {
        homes.values().forEach(EndpointHome::shutdown);
        controlConnections.values().forEach(ControlConnections::close);
        homes.clear();
        controlConnections.clear();
    }

    private void execute(StreamKey key, ExecuteCycle cycle) {
        EndpointHome home = homes.get(cycle.routing().endpoint());
        if (home == null) {
            AnswerState state = cycle.sequence() == 1 ? AnswerState.NOT_RUN : AnswerState.UNKNOWN;
            new HomeStream(key, context.replySender(), cycle, 0).fail(state, 0, "the VM is not home to the endpoint");
            return;
        }
        home.execute(key, cycle);
    }

    private void answer(
            Action.CallEndpoint call, Either<ControlFailure, ControlReply> result, Consumer<Event> callback) {
        callback.accept(new Event.EndpointCallCompleted(call.call(), call.endpoint(), result));
    }

    /** Opens the homes that the placement assigns to this VM, and drains the others. */
    private void applyPlacement() {
        Map<EndpointId, EndpointDeclaration> assigned = new HashMap<>();
        localEndpoints.forEach(o -> placeEndpoint(o.database(), o.endpoint(), assigned));
        for (EndpointHome home : new ArrayList<>(homes.values())) {
            if (!home.endpoint().equals(assigned.get(home.endpoint().id()))) {
                closeWhenDrained(home);
            }
        }
    }

    private void placeEndpoint(
            DatabaseDeclaration database, EndpointDeclaration endpoint, Map<EndpointId, EndpointDeclaration> assigned) {
        int rank = collaborators.resolver().homes(endpoint).indexOf(options.self());
        if (rank < 0) {
            return;
        }
        assigned.put(endpoint.id(), endpoint);
        EndpointHome home = homes.get(endpoint.id());
        if (home == null) {
            home = new EndpointHome(context, database.id(), endpoint, confirmations, this::reportPosition);
            homes.put(endpoint.id(), home);
            controlConnections.put(endpoint.id(), new ControlConnections(context, database.id(), endpoint));
            LOG.info("event=home_opened endpoint={} rank={}", endpoint.id(), rank);
        }
        home.resize(database.slots(), ConnectionShare.statementConnections(database.connections(), rank));
    }

    private void reportPosition(EndpointId endpoint, LogPosition position) {
        collaborators.positions().accept(endpoint, position);
    }

    /**
     * Closes a home that is no longer assigned to this VM once its streams have ended. Until then, connections are
     * closed as they are released, to leave room for those of the new home.
     */
    private void closeWhenDrained(EndpointHome home) {
        home.resize(1, 0);
        if (home.isDrained()) {
            EndpointId endpoint = home.endpoint().id();
            home.shutdown();
            homes.remove(endpoint);
            Option.of(controlConnections.remove(endpoint)).forEach(ControlConnections::close);
            LOG.info("event=home_closed endpoint={}", endpoint);
        }
    }

    /** An endpoint of this VM's cell; kept in a list so that periodic work does not scan all declared databases. */
    private record LocalEndpoint(DatabaseDeclaration database, EndpointDeclaration endpoint) {}

    /**
     * The two control connections of an endpoint. Calls that wait for a position have their own, so that they do not
     * delay other calls.
     */
    private static final class ControlConnections {

        private final ControlConnection commands;
        private final ControlConnection waits;

        ControlConnections(HomeContext context, DatabaseId database, EndpointDeclaration e) {
            ConnectionSpec spec =
                    new ConnectionSpec(database, e, context.users().writer(), context.application());
            commands = new ControlConnection(
                    context.loop(), e.id(), owner -> new EndpointConnection(context.network(), spec, owner));
            waits = new ControlConnection(
                    context.loop(), e.id(), owner -> new EndpointConnection(context.network(), spec, owner));
        }

        void call(ControlRequest request, long timeoutMillis, Consumer<Either<ControlFailure, ControlReply>> callback) {
            ControlConnection connection = request instanceof ControlRequest.AwaitPosition ? waits : commands;
            connection.call(request, timeoutMillis, callback);
        }

        void close() {
            commands.close();
            waits.close();
        }
    }
}
