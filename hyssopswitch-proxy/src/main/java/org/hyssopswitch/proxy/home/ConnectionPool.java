package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** Connection pool for the statements of one endpoint, limited to this VM's share of the endpoint's connections. */
final class ConnectionPool implements EndpointConnection.Owner {

    private static final Logger LOG = LogManager.getLogger(ConnectionPool.class);
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 400;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    private final DecisionLoop loop;
    private final RandomGenerator random;
    private final Opener opener;
    private final Runnable onChange;
    private final Map<EndpointConnection, Long> idle = new HashMap<>();
    private final Set<EndpointConnection> connections = new LinkedHashSet<>();
    private final Set<EndpointConnection> opening = new LinkedHashSet<>();
    private int limit;
    private int warm;
    private EndpointUser lastUsed;
    private long openAfterMillis;
    private int failures;

    ConnectionPool(DecisionLoop loop, RandomGenerator random, Opener opener, EndpointUser first, Runnable onChange) {
        this.loop = loop;
        this.random = random;
        this.opener = opener;
        this.lastUsed = first;
        this.onChange = onChange;
    }

    /**
     * Sets the size of the pool. Connections above the limit are closed when they are released.
     *
     * @param newLimit maximum number of connections
     * @param newWarm number of connections to keep open ahead of demand
     */
    void resize(int newLimit, int newWarm) {
        limit = newLimit;
        warm = newWarm;
    }

    int size() {
        return connections.size();
    }

    /** Returns the number of consecutive failures to open a connection. */
    int failures() {
        return failures;
    }

    /**
     * Takes an idle connection of the user, preferably one that the account used last, since it needs no reset. If
     * there is none, returns nothing and starts to open one, unless the limit, the backoff or the number of connections
     * that are being opened forbids it.
     *
     * @param user the user to connect as
     * @param account the account that will use the connection
     */
    Option<EndpointConnection> acquire(EndpointUser user, ClientAccountId account) {
        lastUsed = user;
        Option<EndpointConnection> best = Option.ofOptional(idle.keySet().stream()
                .filter(c -> c.user().equals(user))
                .min(Comparator.comparingInt(c -> preference(c, account))));
        best.forEach(idle::remove);
        if (best.isEmpty()) {
            openIfPossible(user);
        }
        return best;
    }

    void release(EndpointConnection connection) {
        if (!connection.isUsable() || connections.size() > limit) {
            discard(connection);
        } else {
            idle.put(connection, loop.nowMillis());
        }
        onChange.run();
    }

    void discard(EndpointConnection connection) {
        connection.close();
        remove(connection);
    }

    /** Opens connections ahead of demand and closes those whose idle timeout has expired. */
    void tick() {
        long now = loop.nowMillis();
        List<EndpointConnection> unused = idle.entrySet().stream()
                .filter(e -> now - e.getValue() > IDLE_TIMEOUT_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
        unused.stream().limit(Math.max(0, idle.size() - warm)).forEach(this::discard);
        while (connections.size() < Math.min(warm, limit) && canOpen()) {
            open(lastUsed);
        }
    }

    void close() {
        limit = 0;
        warm = 0;
        new ArrayList<>(connections).forEach(this::discard);
    }

    @Override
    public void opened(EndpointConnection connection) {
        failures = 0;
        opening.remove(connection);
        release(connection);
    }

    @Override
    public void openFailed(EndpointConnection connection, String sqlState) {
        failures++;
        openAfterMillis = loop.nowMillis() + random.nextLong(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
        LOG.info(
                "event=endpoint_connect_failed user={} sqlstate={} failures={}", connection.user(), sqlState, failures);
        remove(connection);
        onChange.run();
    }

    @Override
    public void lost(EndpointConnection connection) {
        remove(connection);
    }

    private static int preference(EndpointConnection connection, ClientAccountId account) {
        if (connection.account().contains(account)) {
            return 0;
        }
        return connection.account().isEmpty() ? 1 : 2;
    }

    private boolean canOpen() {
        return loop.nowMillis() >= openAfterMillis;
    }

    private void openIfPossible(EndpointUser user) {
        if (!canOpen() || opening.stream().filter(c -> c.user().equals(user)).count() >= Math.max(1, warm)) {
            return;
        }
        if (connections.size() >= limit) {
            Option.ofOptional(idle.keySet().stream().findFirst()).forEach(this::discard);
        }
        if (connections.size() < limit) {
            open(user);
        }
    }

    private void open(EndpointUser user) {
        EndpointConnection connection = opener.create(user, this);
        connections.add(connection);
        opening.add(connection);
        connection.open();
    }

    private void remove(EndpointConnection connection) {
        idle.remove(connection);
        opening.remove(connection);
        connections.remove(connection);
    }

    /** Creates connections. */
    @FunctionalInterface
    interface Opener {

        EndpointConnection create(EndpointUser user, EndpointConnection.Owner owner);
    }
}
