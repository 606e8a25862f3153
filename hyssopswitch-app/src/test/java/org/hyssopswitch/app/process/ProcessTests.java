package org.hyssopswitch.app.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hyssopswitch.app.HyssopswitchMain;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.load.LoadOptions;
import org.hyssopswitch.load.LoadRunner;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.profile.Deployment;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.report.LoadReport;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;
import org.hyssopswitch.standin.StandinMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The programs as processes on loopback: three VMs in three data centres, a group and the platform. */
class ProcessTests {

    private static final String TOKEN = "fleet-token";
    private static final String DATABASE = "demo.records";
    private static final int VMS = 3;

    @TempDir
    private Path directory;

    private final List<Program> vms = new ArrayList<>();
    private Program platform;
    private Program group;

    @BeforeEach
    void start() throws Exception {
        platform = Program.start(StandinMain.class, "platform", "--credentials", "admin:fleet:" + TOKEN);
        group = Program.start(StandinMain.class, "group", "--database", DATABASE, "--lag-millis", "10");
        try (PlatformClient client = new HttpPlatformClient(new PlatformOptions(url(), TOKEN, 5_000, 1 << 20))) {
            byte[] value = new TeamConfigurationCodec().encode(configuration());
            assertTrue(client.update("config/teams/demo", 0, value)
                    .toCompletableFuture()
                    .get()
                    .isRight());
        }
        for (int i = 0; i < VMS; i++) {
            vms.add(Program.start(
                    HyssopswitchMain.class, "run", "--settings", settings(i).toString()));
        }
    }

    @AfterEach
    void stop() {
        vms.forEach(Program::close);
        group.close();
        platform.close();
    }

    @Test
    void keepsEveryAnswerRightWhenAVmIsKilledAndStopsCleanly() throws Exception {
        AtomicBoolean killed = new AtomicBoolean();
        LoadReport report = new LoadRunner(options(), p -> {
                    if (p.elapsedMillis() >= 3_000 && killed.compareAndSet(false, true)) {
                        vms.get(1).kill();
                    }
                })
                .run();
        assertTrue(killed.get());
        assertEquals(List.of(), report.findings());
        assertTrue(report.clean(), () -> "unaudited ledgers: " + report.unaudited());
        assertEquals(0, vms.get(2).terminate());
    }

    private LoadOptions options() {
        Deployment deployment = new Deployment(List.of("a", "b", "c"), VMS, List.of(DATABASE), 3, 3, 34, 0);
        AccountProfile account = new AccountProfile("demo.school", 1_000, 500, 40, 6);
        LoadProfile profile = new LoadProfile(
                "processes",
                deployment,
                List.of(account),
                LoadProfile.included("pellets").traffic());
        List<LoadOptions.VmTarget> targets = vms.stream()
                .map(vm -> new LoadOptions.VmTarget("127.0.0.1", vm.port("callers")))
                .toList();
        return new LoadOptions(profile, targets, Map.of(), 5, 8_000, LoadOptions.DEFAULT_ANSWER_TIMEOUT_MILLIS);
    }

    private TeamConfiguration configuration() {
        DatabaseId database = new DatabaseId(DATABASE);
        List<EndpointDeclaration> endpoints = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            EndpointId id = new EndpointId(DATABASE + "-" + (i + 1));
            endpoints.add(new EndpointDeclaration(
                    id, new DataCentreId(place(i)), new CellId(place(i)), "127.0.0.1", group.port(id.value()), false));
        }
        AccountDeclaration school = new AccountDeclaration(
                new ClientAccountId("demo.school"),
                new Rate(1_000, 500),
                List.of(database),
                List.of(ScramUtils.derive(
                        new KeyId("k1"), "demo.school-key", "salt-of-school".getBytes(StandardCharsets.UTF_8), 4_096)));
        return new TeamConfiguration(
                new TeamId("demo"),
                0,
                List.of(new DatabaseDeclaration(database, endpoints, 3, 34)),
                List.of(school),
                List.of(
                        new RouteDeclaration(new RouteId("status"), database, true, 5_000, true, false),
                        new RouteDeclaration(new RouteId("latest"), database, true, 0, true, false)));
    }

    private Path settings(int index) throws IOException {
        String text =
                """
                vm: vm-%1$d
                dataCentre: %2$s
                cell: %2$s
                listeners:
                  caller: {host: 127.0.0.1, port: 0}
                  peer: {host: 127.0.0.1, port: 0}
                  operations: {host: 127.0.0.1, port: 0}
                platform:
                  url: %3$s
                  credential: %4$s
                fleetSecret: a secret of this test
                endpointUsers:
                  writer: {name: hyssop_writer, password: writer-password}
                  reader: {name: hyssop_reader, password: reader-password}
                """
                        .formatted(index, place(index), url(), TOKEN);
        return Files.writeString(directory.resolve("vm-" + index + ".yaml"), text);
    }

    private URI url() {
        return URI.create("http://127.0.0.1:" + platform.port("platform"));
    }

    private static String place(int index) {
        return List.of("a", "b", "c").get(index);
    }
}
