package org.hyssopswitch.pool.testing;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Consistency;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.catalog.GroupDeclaration;
import org.hyssopswitch.pool.catalog.Route;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.endpoint.GroupContext;
import org.hyssopswitch.pool.endpoint.LeaseSource;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.quota.AccountLimiter;
import org.hyssopswitch.pool.session.CommitGuard;
import org.hyssopswitch.pool.session.RequestLog;
import org.hyssopswitch.pool.session.RequestMetrics;
import org.hyssopswitch.pool.session.Sessions;

/** One VM that serves a group of three endpoints, in virtual time. */
public final class TestPool {

    /** The route whose reads see every commit. */
    public static final String LATEST = "latest";

    /** The route whose reads may be 1.5 seconds old. */
    public static final String BOUNDED = "bounded";

    /** The route whose reads see the session's own commits. */
    public static final String READ_YOUR_WRITES = "own";

    /** A configured key. */
    public static final String KEY = "key";

    private static final String GROUP = "group";
    private static final long TICK_MILLIS = 20;

    private final ManualLoop loop = new ManualLoop();
    private final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
    private final List<Endpoint> entries = new ArrayList<>();
    private final DatabaseGroups groups;
    private final Sessions sessions;
    private final AccountLimiter limiter;
    private final MetricRegistry metrics = new MetricRegistry();
    private final List<String> shortages = new ArrayList<>();
    private CommitGuard commitGuard = CommitGuard.NONE;
    private Catalog catalog;
    private long suspendedMillis;

    /** Starts a VM with endpoints that each accept a limited number of connections. */
    public TestPool(int maxConnections, int vms) {
        for (String id : List.of("e1", "e2", "e3")) {
            FakeEndpoint endpoint = new FakeEndpoint(loop, id, id.equals("e1"), maxConnections);
            endpoints.put(id, endpoint);
            entries.add(endpoint.entry(GROUP, "dc-" + id, entries.size() + 1L));
        }
        groups = new DatabaseGroups(new GroupContext(
                "dc-e2",
                (endpoint, account, listener) -> endpoints.get(endpoint.id()).connect(account, listener),
                LeaseSource.NONE,
                FakeEndpoint::decodeStatus,
                (group, endpoint) -> shortages.add(endpoint),
                metrics,
                loop::nowMillis,
                () -> loop.nowMillis() + suspendedMillis));
        limiter = new AccountLimiter(new UnreachablePeers(), loop::nowMillis);
        sessions = new Sessions(
                groups,
                limiter,
                new RequestLog(loop::nowMillis, () -> 0),
                new RequestMetrics(metrics),
                (group, commit, done) -> commitGuard.confirm(group, commit, done),
                loop::nowMillis);
        configure(catalog(maxConnections, Map.of(KEY, account("small"), "other-key", account("large"))), vms);
        tick();
    }

    /** Connects a caller to a database with the configured key. */
    public FakeCaller connectCaller(String database) {
        return new FakeCaller(sessions, database, KEY);
    }

    /** Returns an endpoint; e1 starts as the primary, e2 is in the VM's data centre. */
    public FakeEndpoint endpoint(String id) {
        return endpoints.get(id);
    }

    /** Advances the virtual time. */
    public void advance(long millis) {
        loop.advance(millis);
    }

    /** Suspends the VM: the time of day advances, the monotonic clock does not. */
    public void suspend(long millis) {
        suspendedMillis += millis;
    }

    /** Returns the decision thread. */
    public ManualLoop loop() {
        return loop;
    }

    /** Returns the groups of the VM. */
    public DatabaseGroups groups() {
        return groups;
    }

    /** Returns the sessions of the VM. */
    public Sessions sessions() {
        return sessions;
    }

    /** Returns the endpoints for which the VM reported a connection shortage. */
    public List<String> shortages() {
        return shortages;
    }

    /** Returns the group. */
    public DatabaseGroup group() {
        return groups.find(GROUP).get();
    }

    /** Returns the value of a counter of the VM. */
    public long counter(String name) {
        return metrics.counter(name).getCount();
    }

    /** Returns the current configuration. */
    public Catalog catalog() {
        return catalog;
    }

    /** Sets what decides when callers are told of commits from now on. */
    public void setCommitGuard(CommitGuard guard) {
        commitGuard = guard;
    }

    /** Applies a configuration. */
    public void configure(Catalog next, int vms) {
        catalog = next;
        groups.update(next, entries, vms);
        limiter.update(next, "vm-1", Map.of("vm-1", "dc-0"));
        sessions.configure(next);
    }

    /** Starts a VM that has not yet read a configuration. */
    public static TestPool unconfigured() {
        TestPool pool = new TestPool(16, 6);
        pool.sessions.configure(Catalog.EMPTY);
        return pool;
    }

    /** Applies a changed entry of an endpoint. */
    public void updateEndpoint(Endpoint changed, int vms) {
        entries.removeIf(entry -> entry.id().equals(changed.id()));
        entries.add(changed);
        groups.update(catalog, entries, vms);
    }

    /** Removes the entry of an endpoint. */
    public void removeEndpoint(String id, int vms) {
        entries.removeIf(entry -> entry.id().equals(id));
        groups.update(catalog, entries, vms);
    }

    /** Adds a replica; its entry is listed by {@link #updateEndpoint}. */
    public FakeEndpoint addEndpoint(String id, int maxConnections) {
        FakeEndpoint added = new FakeEndpoint(loop, id, false, maxConnections);
        endpoints.put(id, added);
        return added;
    }

    /** Returns a configuration with the three routes. */
    public static Catalog catalog(int maxConnections, Map<String, Account> accounts) {
        return catalog(maxConnections, 0, accounts);
    }

    /** Returns a configuration whose group acknowledges a commit once some replicas hold it. */
    public static Catalog catalog(int maxConnections, int syncReplicas, Map<String, Account> accounts) {
        return Catalog.of(
                1,
                List.of(
                        route(LATEST, Consistency.LATEST, 0),
                        route(BOUNDED, Consistency.BOUNDED, 1_500),
                        route(READ_YOUR_WRITES, Consistency.READ_YOUR_WRITES, 2_500)),
                List.of(new GroupDeclaration(GROUP, maxConnections, syncReplicas)),
                accounts,
                3_000);
    }

    /** Returns an account whose limit is never reached. */
    public static Account account(String name) {
        return new Account(name, Option.some(new Rate(1e6, 1e6)));
    }

    private static Route route(String database, Consistency consistency, long stalenessMillis) {
        return new Route(database, database, GROUP, consistency, stalenessMillis, 1_000, 200, 1, false);
    }

    private void tick() {
        limiter.tick();
        groups.tick();
        sessions.tick();
        loop.schedule(TICK_MILLIS, this::tick);
    }

    /** Links of a VM that reaches no other VM. */
    private static final class UnreachablePeers implements PeerLinks {

        @Override
        public void send(String vm, PeerMessage message) {
            // No other VM is reachable.
        }

        @Override
        public void sendToSubset(PeerMessage message) {
            // No other VM is reachable.
        }

        @Override
        public List<String> names() {
            return List.of();
        }
    }
}
