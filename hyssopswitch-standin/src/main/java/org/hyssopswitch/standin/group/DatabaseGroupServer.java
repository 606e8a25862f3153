package org.hyssopswitch.standin.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * A database group in this process: endpoints that listen on the loopback address, replicate and can be made to fail.
 *
 * <p>The first endpoint is the primary of term 1, which the others follow.
 */
public final class DatabaseGroupServer implements AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(DatabaseGroupServer.class);
    private static final String FIRST_ORDERER = "initial";

    private final GroupSettings settings;
    private final GroupThread thread;
    private final FaultTable faultTable;
    private final Map<EndpointId, EndpointServer> servers = new LinkedHashMap<>();
    private final Replication replication;
    private final GroupFaults faults;

    /**
     * Creates a group that does not listen yet.
     *
     * @param settings its settings
     */
    public DatabaseGroupServer(GroupSettings settings) {
        this.settings = settings;
        this.thread = new GroupThread(settings.database().value());
        this.faultTable = new FaultTable(settings);
        this.replication = new Replication(thread, faultTable);
        settings.endpoints().forEach(this::create);
        this.faults = new GroupFaults(thread, faultTable, replication, Map.copyOf(servers));
    }

    /** Binds the ports and forms the group. */
    public void start() {
        thread.call(() -> {
            form();
            return true;
        });
        servers.values().forEach(EndpointServer::start);
        thread.repeat(replication::run, Replication.HEARTBEAT_NANOS);
        servers.forEach((id, s) -> LOG.info("event=endpoint_listening endpoint={} port={}", id, s.port()));
    }

    /** The settings. */
    public GroupSettings settings() {
        return settings;
    }

    /** The endpoints in order. */
    public List<EndpointId> endpoints() {
        return List.copyOf(servers.keySet());
    }

    /**
     * The port that an endpoint listens on.
     *
     * @param endpoint the endpoint
     */
    public int port(EndpointId endpoint) {
        return server(endpoint).port();
    }

    /** The faults, to be switched on and off. */
    public GroupFaults faults() {
        return faults;
    }

    /**
     * The status of an endpoint, also while it is cut off, frozen or crashed.
     *
     * @param endpoint the endpoint
     */
    public EndpointStatus status(EndpointId endpoint) {
        return onThread(endpoint, r -> r.endpoint().status(thread.nowNanos()));
    }

    /**
     * Makes a control call other than an await, regardless of faults.
     *
     * @param endpoint the endpoint
     * @param request the call
     */
    public ControlReply control(EndpointId endpoint, ControlRequest request) {
        if (request instanceof ControlRequest.AwaitPosition) {
            throw new IllegalArgumentException("an await must be made through a connection, but is " + request);
        }
        return onThread(endpoint, r -> {
            List<ControlReply> replies = new ArrayList<>();
            r.control(request, replies::add);
            return replies.get(0);
        });
    }

    /**
     * What an endpoint has seen.
     *
     * @param endpoint the endpoint
     */
    public EndpointStatistics statistics(EndpointId endpoint) {
        return onThread(endpoint, EndpointRuntime::statistics);
    }

    /** The endpoint that is primary in the highest term, if any is. */
    public Optional<EndpointId> primary() {
        return endpoints().stream()
                .map(this::status)
                .filter(s -> s.role() == EndpointRole.PRIMARY)
                .max(Comparator.comparingLong(EndpointStatus::acceptedTerm))
                .map(EndpointStatus::endpoint);
    }

    /** Stops listening and drops all connections and data. */
    @Override
    public void close() {
        servers.values().forEach(EndpointServer::stop);
        thread.stop();
    }

    private void create(EndpointAddress address) {
        Endpoint endpoint = new Endpoint(address.id(), thread.nowNanos());
        EndpointRuntime runtime = new EndpointRuntime(endpoint, settings, faultTable, thread, replication::scheduleAll);
        replication.add(runtime);
        servers.put(address.id(), new EndpointServer(runtime, address.port()));
    }

    private void form() {
        EndpointId first = settings.endpoints().get(0).id();
        for (EndpointServer server : servers.values()) {
            Endpoint endpoint = server.runtime().endpoint();
            endpoint.control(new ControlRequest.Fence(1, FIRST_ORDERER), thread.nowNanos());
            boolean primary = endpoint.id().equals(first);
            ControlRequest next =
                    primary ? new ControlRequest.Promote(1, FIRST_ORDERER) : new ControlRequest.Follow(1, first);
            endpoint.control(next, thread.nowNanos());
        }
        replication.run();
    }

    private <T> T onThread(EndpointId endpoint, Function<EndpointRuntime, T> read) {
        EndpointRuntime runtime = server(endpoint).runtime();
        return thread.call(() -> read.apply(runtime));
    }

    private EndpointServer server(EndpointId endpoint) {
        return Optional.ofNullable(servers.get(endpoint))
                .orElseThrow(() -> new HyssopException("endpoint " + endpoint + " is not of this group"));
    }
}
