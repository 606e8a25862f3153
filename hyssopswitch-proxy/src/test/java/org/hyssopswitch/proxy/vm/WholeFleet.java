package org.hyssopswitch.proxy.vm;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.core.key.StalenessPolicy;
import org.hyssopswitch.peer.PeerOptions;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import org.hyssopswitch.proxy.home.EndpointUser;
import org.hyssopswitch.proxy.home.EndpointUsers;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.GroupSettings;
import org.hyssopswitch.standin.platform.PlatformCredential;
import org.hyssopswitch.standin.platform.PlatformServer;
import org.hyssopswitch.standin.platform.PlatformSettings;

/** VMs as they run in production, two in each of three data centres, with stand-ins for platform and database group. */
final class WholeFleet implements AutoCloseable {

    static final String KEY = "school-key";
    private static final String DATABASE = "mare-alta.certificates";
    private static final String TOKEN = "vm-token";
    private static final List<String> DATA_CENTRES = List.of("recife", "fortaleza", "salvador");
    private static final byte[] SECRET = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);

    private final PlatformServer platform;
    private final DatabaseGroupServer group;
    private final List<VmRuntime> vms = new ArrayList<>();

    WholeFleet() {
        platform = new PlatformServer(
                PlatformSettings.of(List.of(PlatformCredential.of("vm", TOKEN, PlatformCredential.Kind.VM))));
        platform.start();
        group = new DatabaseGroupServer(GroupSettings.of(DATABASE, 3).withCapacity(2, 16, 1));
        group.start();
        platform.update("config/teams/mare-alta", 0, new TeamConfigurationCodec().encode(team()));
        for (int i = 0; i < 2 * DATA_CENTRES.size(); i++) {
            startVm(i);
        }
    }

    DatabaseGroupServer group() {
        return group;
    }

    VmRuntime vm(int index) {
        return vms.get(index);
    }

    int size() {
        return vms.size();
    }

    /** What a VM reports, for the message of a failed test. */
    String status(int vm) {
        try {
            URI uri = URI.create("http://127.0.0.1:" + vms.get(vm).operationsPort() + "/status");
            return HttpClient.newHttpClient()
                    .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException e) {
            return e.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return e.toString();
        }
    }

    Connection connect(int vm) throws SQLException {
        Properties properties = new Properties();
        properties.setProperty("user", "mare-alta.school");
        properties.setProperty("password", KEY);
        properties.setProperty("socketTimeout", "30");
        return DriverManager.getConnection(
                "jdbc:postgresql://127.0.0.1:" + vms.get(vm).callerPort() + "/" + DATABASE, properties);
    }

    @Override
    public void close() {
        vms.forEach(VmRuntime::close);
        group.close();
        platform.close();
    }

    private TeamConfiguration team() {
        DatabaseId database = new DatabaseId(DATABASE);
        List<EndpointDeclaration> endpoints = new ArrayList<>();
        for (int i = 0; i < group.endpoints().size(); i++) {
            EndpointId endpoint = group.endpoints().get(i);
            String dc = DATA_CENTRES.get(i);
            endpoints.add(new EndpointDeclaration(
                    endpoint, new DataCentreId(dc), new CellId(dc), "127.0.0.1", group.port(endpoint), false));
        }
        AccountDeclaration school = new AccountDeclaration(
                new ClientAccountId("mare-alta.school"),
                new Rate(10_000, 10_000),
                List.of(database),
                List.of(ScramUtils.derive(new KeyId("k1"), KEY, SECRET, 4_096)));
        RouteDeclaration validity = new RouteDeclaration(new RouteId("validity"), database, true, 60_000, true, false);
        return new TeamConfiguration(
                new TeamId("mare-alta"),
                1,
                List.of(new DatabaseDeclaration(database, endpoints, 2, 16)),
                List.of(school),
                List.of(validity));
    }

    private void startVm(int number) {
        String dc = DATA_CENTRES.get(number % DATA_CENTRES.size());
        PeerOptions peer = new PeerOptions(
                new VmId("vm-" + number),
                number + 1,
                new DataCentreId(dc),
                new CellId(dc),
                "127.0.0.1",
                0,
                SECRET,
                PeerOptions.Limits.DEFAULT);
        VmOptions.Listener any = new VmOptions.Listener("127.0.0.1", 0);
        EndpointUsers users = new EndpointUsers(
                new EndpointUser("hyssop_writer", "writer-password"),
                new EndpointUser("hyssop_reader", "reader-password"));
        VmRuntime vm = new VmRuntime(
                new VmOptions(peer, any, any, users, Option.none(), 20, 10_000),
                VmMessages.registry(),
                new HttpPlatformClient(new PlatformOptions(URI.create(platform.url()), TOKEN, 2_000, 1 << 20)),
                new DefaultVmCoreFactory(StalenessPolicy.serveLastKnown(), QueueLimits.DEFAULT, VmRuntime::nowMillis),
                new MetricRegistry());
        vm.start();
        vms.add(vm);
    }
}
