package org.hyssopswitch.proxy.vm;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.ToIntFunction;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.CallIdSequence;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.failover.ControlRouter;
import org.hyssopswitch.core.failover.MajorityCommitConfirmer;
import org.hyssopswitch.core.failover.SessionFloorSystem;
import org.hyssopswitch.core.fairness.DeficitRoundRobinQueue;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.core.limit.EvenSplitRateLimiter;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.placement.RendezvousHomeResolver;
import org.hyssopswitch.core.retry.Backoff;
import org.hyssopswitch.core.retry.RetryBudget;
import org.hyssopswitch.core.retry.RetryPolicy;
import org.hyssopswitch.core.session.DefaultEndpointSelector;
import org.hyssopswitch.core.session.EndpointTable;
import org.hyssopswitch.core.session.SelectionTimeouts;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.proxy.entry.EntryOptions;
import org.hyssopswitch.proxy.home.EndpointUser;
import org.hyssopswitch.proxy.home.EndpointUsers;
import org.hyssopswitch.proxy.home.QueueFactory;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.GroupSettings;

/** VMs in this process in front of a stand-in group. */
final class TestFleet implements AutoCloseable {

    static final String DATABASE = "certificates";
    static final String KEY = "school-key";
    static final String OTHER_KEY = "agency-key";
    private static final DatabaseId DATABASE_ID = new DatabaseId(DATABASE);
    private static final DataCentreId DATA_CENTRE = new DataCentreId("recife");
    private static final CellId CELL = new CellId("recife-1");
    private static final byte[] SECRET = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);

    private final DatabaseGroupServer group;
    private final FixedMembership membership = new FixedMembership();
    private final AtomicReference<Configuration> configuration = new AtomicReference<>(Configuration.EMPTY);
    private final List<VmRuntime> vms = new ArrayList<>();
    private final int parts;
    private final EntryOptions callers;
    private long incarnation;

    TestFleet(int vms) {
        this(vms, EntryOptions.DEFAULT);
    }

    TestFleet(int vms, EntryOptions callers) {
        this.callers = callers;
        group = new DatabaseGroupServer(GroupSettings.of(DATABASE, 3).withCapacity(3, 34, 1));
        group.start();
        parts = vms;
        for (int i = 0; i < vms; i++) {
            startVm("vm-" + i);
        }
        configure(List.of(
                account("school", KEY, new Rate(100_000, 100_000)),
                account("agency", OTHER_KEY, new Rate(100_000, 100_000)),
                account("open", "unused", new Rate(100_000, 100_000))));
        awaitServing();
    }

    DatabaseGroupServer group() {
        return group;
    }

    VmRuntime vm(int index) {
        return vms.get(index);
    }

    FixedMembership membership() {
        return membership;
    }

    /** The VM that is home to the primary. */
    int homeOfPrimary() {
        EndpointId primary = group.primary().orElseThrow();
        EndpointDeclaration declaration = endpoints().stream()
                .filter(e -> e.id().equals(primary))
                .findFirst()
                .orElseThrow();
        VmAddress home = new RendezvousHomeResolver(membership.viewOf(vms.get(0).self()))
                .homes(declaration)
                .get(0);
        return vms.stream().map(VmRuntime::self).toList().indexOf(home);
    }

    static AccountDeclaration account(String id, String key, Rate rate) {
        return new AccountDeclaration(
                new ClientAccountId(id),
                rate,
                List.of(DATABASE_ID),
                List.of(ScramUtils.derive(new KeyId(id + "-1"), key, id.getBytes(StandardCharsets.UTF_8), 4_096)));
    }

    void configure(List<AccountDeclaration> accounts) {
        long version = configuration.get().version() + 1;
        TeamId team = new TeamId("mare-alta");
        DatabaseDeclaration database = new DatabaseDeclaration(DATABASE_ID, endpoints(), 3, 34);
        List<RouteDeclaration> routes = List.of(
                new RouteDeclaration(new RouteId("validity"), DATABASE_ID, true, 60_000, true, true),
                new RouteDeclaration(new RouteId("latest"), DATABASE_ID, true, 0, true, false),
                new RouteDeclaration(new RouteId("record"), DATABASE_ID, false, 0, false, false));
        configuration.set(new Configuration(
                version, Map.of(team, new TeamConfiguration(team, version, List.of(database), accounts, routes))));
    }

    Connection connect(int vm) throws SQLException {
        return connect(vm, "school", KEY, Map.of());
    }

    Connection connect(int vm, String user, String key, Map<String, String> more) throws SQLException {
        return connect(vm, user, key, DATABASE, more);
    }

    Connection connect(int vm, String user, String key, String database, Map<String, String> more) throws SQLException {
        Properties properties = new Properties();
        properties.setProperty("user", user);
        properties.setProperty("password", key);
        properties.setProperty("socketTimeout", "20");
        more.forEach(properties::setProperty);
        return DriverManager.getConnection(
                "jdbc:postgresql://127.0.0.1:" + vms.get(vm).callerPort() + "/" + database, properties);
    }

    static List<String> rows(Connection connection, String sql) throws SQLException {
        List<String> rows = new ArrayList<>();
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery(sql)) {
            while (result.next()) {
                rows.add(result.getString(1));
            }
        }
        return rows;
    }

    static void execute(Connection connection, String sql) throws SQLException {
        try (Statement statement = connection.createStatement()) {
            statement.execute(sql);
        }
    }

    @Override
    public void close() {
        vms.forEach(VmRuntime::close);
        group.close();
    }

    private List<EndpointDeclaration> endpoints() {
        return group.endpoints().stream()
                .map(e -> new EndpointDeclaration(e, DATA_CENTRE, CELL, "127.0.0.1", group.port(e), false))
                .toList();
    }

    private void startVm(String name) {
        PeerOptions peer = new PeerOptions(
                new VmId(name), ++incarnation, DATA_CENTRE, CELL, "127.0.0.1", 0, SECRET, PeerOptions.Limits.DEFAULT);
        VmOptions.Listener any = new VmOptions.Listener("127.0.0.1", 0);
        EndpointUsers users = new EndpointUsers(
                new EndpointUser("hyssop_writer", "writer-password"),
                new EndpointUser("hyssop_reader", "reader-password"));
        VmOptions options = new VmOptions(peer, any, any, users, Option.none(), callers, 10, 10_000);
        VmRuntime vm =
                new VmRuntime(options, VmMessages.registry(), new NoPlatform(), this::core, new MetricRegistry());
        membership.join(vm.self());
        vm.start();
        vms.add(vm);
    }

    private VmCore core(VmAddress self, ToIntFunction<EndpointId> load) {
        MembershipView view = membership.viewOf(self);
        HomeResolver resolver = new RendezvousHomeResolver(view);
        EndpointTable table = new EndpointTable();
        ControlRouter router = new ControlRouter(self, resolver, table, new CallIdSequence());
        MajorityCommitConfirmer confirmer = new MajorityCommitConfirmer(router, table);
        EvenSplitRateLimiter limiter = new EvenSplitRateLimiter(parts);
        SessionFloorSystem floors =
                new SessionFloorSystem(self, resolver, table, router, confirmer, new CallIdSequence());
        DecisionEngine engine = new DecisionEngine(List.of(
                new TestSystems.GivenConfiguration(configuration::get),
                new TestSystems.KnownStatuses(group, table),
                router,
                confirmer,
                floors,
                limiter));
        SplittableRandom random = new SplittableRandom(7);
        return new VmCore(
                engine,
                resolver,
                new DefaultEndpointSelector(table, DATA_CENTRE, SelectionTimeouts.DEFAULT, random),
                confirmer,
                floors::request,
                limiter,
                table,
                new RetryPolicy(RetryPolicy.DEFAULT_MAX_ATTEMPTS, new RetryBudget(), new Backoff(10, 200, random)),
                new QueueFactory() {
                    @Override
                    public <T> StatementQueue<T> create() {
                        return new DeficitRoundRobinQueue<>(a -> 1, QueueLimits.DEFAULT);
                    }
                },
                Option::none,
                () -> true,
                () -> Map.of("configurationVersion", configuration.get().version()),
                new Leave(self));
    }

    /** Configurations and connections come up in the background. */
    private void awaitServing() {
        SQLException last = null;
        for (int i = 0; i < vms.size(); i++) {
            for (int attempt = 0; attempt < 200; attempt++) {
                try (Connection connection = connect(i)) {
                    rows(connection, "SELECT 1");
                    last = null;
                    break;
                } catch (SQLException e) {
                    last = e;
                }
            }
        }
        if (last != null) {
            throw new IllegalStateException("the fleet does not serve", last);
        }
    }

    private final class Leave implements VmCore.Departure {

        private final VmAddress self;

        Leave(VmAddress self) {
            this.self = self;
        }

        @Override
        public void begin() {
            membership.leave(self);
        }

        @Override
        public boolean done() {
            return true;
        }
    }
}
