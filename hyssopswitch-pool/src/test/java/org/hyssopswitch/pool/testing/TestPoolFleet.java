package org.hyssopswitch.pool.testing;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.DatabaseGroups;
import org.hyssopswitch.pool.endpoint.GroupContext;
import org.hyssopswitch.pool.endpoint.LeaseRole;
import org.hyssopswitch.pool.endpoint.LeaseSource;
import org.hyssopswitch.pool.lease.ConnectionBorrower;
import org.hyssopswitch.pool.lease.ConnectionLender;
import org.hyssopswitch.pool.peer.PeerLinks;
import org.hyssopswitch.pool.quota.AccountLimiter;
import org.hyssopswitch.pool.session.CommitGuard;
import org.hyssopswitch.pool.session.RequestLog;
import org.hyssopswitch.pool.session.RequestMetrics;
import org.hyssopswitch.pool.session.Sessions;

/** Many VMs in two data centres that serve a group of three endpoints with few connections, in virtual time. */
public final class TestPoolFleet {

    private static final String GROUP = "group";
    private static final long TICK_MILLIS = 20;

    /** Time until the accounts' limits admit operations, milliseconds. */
    private static final long SETTLE_MILLIS = 100;

    private final ManualLoop loop = new ManualLoop();
    private final FakePeerNetwork network = new FakePeerNetwork(loop);
    private final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
    private final List<Endpoint> entries = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final int accounts;

    /** Starts VMs that lend connections to each other, or that each open their own. */
    public TestPoolFleet(int vmCount, int maxConnections, int accounts, boolean lending) {
        this.accounts = accounts;
        for (String id : List.of("e1", "e2", "e3")) {
            FakeEndpoint endpoint = new FakeEndpoint(loop, id, id.equals("e1"), maxConnections);
            endpoints.put(id, endpoint);
            entries.add(endpoint.entry(GROUP, "dc-0", entries.size() + 1L));
        }
        Map<String, Account> byKey = new HashMap<>();
        for (int i = 0; i < accounts; i++) {
            byKey.put(key(i), TestPool.account("account-" + i));
        }
        Catalog catalog = TestPool.catalog(maxConnections, byKey);
        Map<String, String> dataCentres = new HashMap<>();
        for (int i = 0; i < vmCount; i++) {
            dataCentres.put("vm-" + i, "dc-" + i % 2);
        }
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm("vm-" + i, "dc-" + i % 2, lending, i));
        }
        vms.forEach(vm -> vm.configure(catalog, dataCentres));
        tick();
        advance(SETTLE_MILLIS);
    }

    /** Returns the key of one of the accounts. */
    public String key(int account) {
        return "key-" + Math.floorMod(account, accounts);
    }

    /** Connects a caller to one of the VMs. */
    public FakeCaller connectCaller(int vm, String database, int account) {
        return new FakeCaller(vms.get(vm).sessions, database, key(account));
    }

    /** Returns an endpoint; e1 starts as the primary. */
    public FakeEndpoint endpoint(String id) {
        return endpoints.get(id);
    }

    /** Returns the index of the VM that lends connections to an endpoint. */
    public int lenderIndex(String endpointId) {
        Endpoint entry = entries.stream()
                .filter(listed -> listed.id().equals(endpointId))
                .findFirst()
                .get();
        for (int i = 0; i < vms.size(); i++) {
            if (vms.get(i).borrower.role(entry) == LeaseRole.LENDER) {
                return i;
            }
        }
        throw new AssertionError("an endpoint must have a lender");
    }

    /** Stops a VM from lending. */
    public void stopLending(int vm) {
        vms.get(vm).lender.stop();
    }

    /** Has a VM announce to all others that it stops. */
    public void announceStop(int vm, long unavailableMillis) {
        vms.forEach(other -> other.borrower.vmStopping("vm-" + vm, unavailableMillis));
    }

    /** Returns the number of connections of a VM that are lent or requested. */
    public int leaseCount(int vm) {
        return vms.get(vm).lender.leaseCount();
    }

    /** Returns the number of VMs. */
    public int size() {
        return vms.size();
    }

    /** Returns the network between the VMs. */
    public FakePeerNetwork network() {
        return network;
    }

    /** Advances the virtual time. */
    public void advance(long millis) {
        loop.advance(millis);
    }

    private void tick() {
        vms.forEach(Vm::tick);
        loop.schedule(TICK_MILLIS, this::tick);
    }

    private final class Vm {

        private final ConnectionBorrower borrower;
        private final ConnectionLender lender;
        private final DatabaseGroups groups;
        private final AccountLimiter limiter;
        private final Sessions sessions;

        Vm(String name, String dataCentre, boolean lending, int seed) {
            PeerLinks links = network.join(name, this::receive);
            borrower = new ConnectionBorrower(name, links, new Random(seed), loop::nowMillis);
            groups = new DatabaseGroups(new GroupContext(
                    dataCentre,
                    (endpoint, account, listener) ->
                            endpoints.get(endpoint.id()).connect(account, listener),
                    lending ? borrower : LeaseSource.NONE,
                    FakeEndpoint::decodeStatus,
                    (group, endpoint) -> {},
                    new MetricRegistry(),
                    loop::nowMillis,
                    loop::nowMillis));
            lender = new ConnectionLender(groups, links, loop::nowMillis);
            limiter = new AccountLimiter(links, loop::nowMillis);
            sessions = new Sessions(
                    groups,
                    limiter,
                    new RequestLog(loop::nowMillis, () -> 0),
                    new RequestMetrics(new MetricRegistry()),
                    CommitGuard.NONE,
                    loop::nowMillis);
        }

        void configure(Catalog catalog, Map<String, String> dataCentres) {
            borrower.update(dataCentres);
            groups.update(catalog, entries, dataCentres.size());
            limiter.update(catalog, "vm", Map.of("vm", "dc"));
            sessions.configure(catalog);
        }

        void tick() {
            borrower.tick();
            lender.tick();
            limiter.tick();
            groups.tick();
            sessions.tick();
        }

        private void receive(String from, PeerMessage message) {
            borrower.received(from, message);
            lender.received(from, message);
        }
    }
}
