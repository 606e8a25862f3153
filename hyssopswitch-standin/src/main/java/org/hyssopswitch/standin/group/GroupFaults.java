package org.hyssopswitch.standin.group;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.EndpointId;

/** Switches the faults of a group. Each method returns when the fault is in force. */
public final class GroupFaults {

    private static final Logger LOG = LogManager.getLogger(GroupFaults.class);

    private final GroupThread thread;
    private final FaultTable table;
    private final Replication replication;
    private final Map<EndpointId, EndpointServer> servers;

    GroupFaults(
            GroupThread thread, FaultTable table, Replication replication, Map<EndpointId, EndpointServer> servers) {
        this.thread = thread;
        this.table = table;
        this.replication = replication;
        this.servers = servers;
    }

    /**
     * Cuts the replication between endpoints of different sets; clients still reach all of them.
     *
     * @param sets the sides; endpoints in none form one more side; an empty list heals
     */
    public void partition(List<Set<EndpointId>> sets) {
        sets.forEach(s -> s.forEach(this::server));
        apply("partition", () -> table.partition(sets));
    }

    /**
     * Cuts clients off from an endpoint: what either side sends is held back until {@link #healClients}.
     *
     * @param endpoint the endpoint
     * @param applicationNamePrefix prefix of the clients' {@code application_name}; {@code *} for every client
     */
    public void cutClients(EndpointId endpoint, String applicationNamePrefix) {
        server(endpoint);
        apply("cut_clients", () -> table.cutClient(endpoint, applicationNamePrefix));
    }

    /** Reconnects all clients. */
    public void healClients() {
        apply("heal_clients", table::healClients);
    }

    /**
     * Makes an endpoint accept connections and answer nothing, and stops its replication.
     *
     * @param endpoint the endpoint
     */
    public void freeze(EndpointId endpoint) {
        server(endpoint);
        apply("freeze", () -> table.freeze(endpoint, true));
    }

    /**
     * Ends {@link #freeze}; what arrived in between is answered.
     *
     * @param endpoint the endpoint
     */
    public void resume(EndpointId endpoint) {
        server(endpoint);
        apply("resume", () -> table.freeze(endpoint, false));
    }

    /**
     * Closes the connections of an endpoint and refuses new ones; its log and its term survive.
     *
     * @param endpoint the endpoint
     */
    public void crash(EndpointId endpoint) {
        EndpointServer server = server(endpoint);
        server.unbind();
        apply("crash", () -> {
            replication.setCrashed(endpoint, true);
            server.runtime().dropSessions();
        });
    }

    /**
     * Ends {@link #crash}.
     *
     * @param endpoint the endpoint
     */
    public void restart(EndpointId endpoint) {
        EndpointServer server = server(endpoint);
        apply("restart", () -> replication.setCrashed(endpoint, false));
        server.listen();
    }

    /**
     * Sets how late a replica receives committed entries.
     *
     * @param endpoint the replica
     * @param millis milliseconds, 0 or more
     */
    public void setLagMillis(EndpointId endpoint, long millis) {
        server(endpoint);
        requireNotNegative("lag", millis);
        apply("lag", () -> table.setLagMillis(endpoint, millis));
    }

    /**
     * Delays every answer of an endpoint; statements still take effect at once.
     *
     * @param endpoint the endpoint
     * @param millis milliseconds, 0 or more
     */
    public void setSlowMillis(EndpointId endpoint, long millis) {
        server(endpoint);
        requireNotNegative("delay", millis);
        apply("slow", () -> table.setSlowMillis(endpoint, millis));
    }

    /**
     * Sets for how long a statement occupies its slot.
     *
     * @param endpoint the endpoint
     * @param micros microseconds, 0 or more
     */
    public void setServiceMicros(EndpointId endpoint, long micros) {
        server(endpoint);
        requireNotNegative("service time", micros);
        apply("service", () -> table.setServiceMicros(endpoint, micros));
    }

    /**
     * Sends the next answers of an endpoint twice, the second time late and on the same connection. An answer is all
     * that is sent for one Query or Sync, for what precedes one Flush, or at the end of a login.
     *
     * @param endpoint the endpoint
     * @param count number of answers, 0 or more
     * @param lateMillis milliseconds between an answer and its repetition, 0 or more
     */
    public void repeatAnswers(EndpointId endpoint, int count, long lateMillis) {
        server(endpoint);
        requireNotNegative("count", count);
        requireNotNegative("delay", lateMillis);
        apply("repeat", () -> table.repeatAnswers(endpoint, count, lateMillis));
    }

    private void apply(String fault, Runnable change) {
        LOG.info("event=fault_set fault={}", fault);
        thread.call(() -> {
            change.run();
            servers.values().forEach(s -> s.runtime().resume());
            replication.run();
            return true;
        });
    }

    private EndpointServer server(EndpointId endpoint) {
        return Optional.ofNullable(servers.get(endpoint))
                .orElseThrow(() -> new HyssopException("endpoint " + endpoint + " is not of this group"));
    }

    private static void requireNotNegative(String name, long value) {
        if (value < 0) {
            throw new IllegalArgumentException("the " + name + " must not be negative, but is " + value);
        }
    }
}
