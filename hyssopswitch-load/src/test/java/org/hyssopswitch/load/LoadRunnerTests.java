package org.hyssopswitch.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.load.audit.FindingKind;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.profile.Deployment;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.load.profile.Operation;
import org.hyssopswitch.load.profile.Traffic;
import org.hyssopswitch.load.report.LoadReport;
import org.hyssopswitch.load.report.ReportUtils;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.GroupSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the load against a group without a VM in between, which therefore promises less. */
class LoadRunnerTests {

    private static final long FAR_BEHIND_MILLIS = 600_000;

    private DatabaseGroupServer group;

    @TempDir
    private Path directory;

    @BeforeEach
    void start() {
        group = new DatabaseGroupServer(GroupSettings.of("orders", 3));
        group.start();
    }

    @AfterEach
    void stop() {
        group.close();
    }

    @Test
    void findsNothingAtAPrimaryThatStays() throws IOException {
        LoadReport report = run(List.of(0), p -> {});
        assertTrue(report.clean(), () -> ReportUtils.text(report));
        assertTrue(report.readsByRole().get("primary") > 0);
        assertEquals(0, report.replicaReadShare());
        assertEquals(0, report.wrongfulRefusals());
        assertEquals(1.0, report.worstServed().successShare());
        ReportUtils.write(report, directory);
        assertEquals(3, Files.readAllLines(directory.resolve("report.csv")).size());
        assertTrue(Files.size(directory.resolve("latency.png")) > 0);
    }

    @Test
    void findsStaleReadsOfSessionsThatRoamToALaggingReplica() {
        EndpointId second = group.endpoints().get(1);
        LoadReport report = run(List.of(0, 1), p -> group.faults().setLagMillis(second, FAR_BEHIND_MILLIS));
        assertTrue(report.breaches().containsKey(FindingKind.STALE), () -> ReportUtils.text(report));
        assertFalse(report.clean());
        assertTrue(report.replicaReadShare() > 0);
    }

    @Test
    void findsRowsThatAPromotionOfALaggingReplicaLost() {
        EndpointId second = group.endpoints().get(1);
        List<LoadProgress> seen = new ArrayList<>();
        LoadReport report = run(List.of(0), p -> {
            seen.add(p);
            if (seen.size() == 1) {
                group.faults().partition(List.of(Set.of(group.endpoints().get(0))));
            }
            if (seen.size() == 2) {
                replacePrimary(second);
            }
        });
        assertTrue(report.breaches().containsKey(FindingKind.LOST), () -> ReportUtils.text(report));
    }

    /** The old primary truncates what it acknowledged alone, and stays the endpoint that the load talks to. */
    private void replacePrimary(EndpointId second) {
        group.control(second, new ControlRequest.Fence(2, "vm"));
        group.control(second, new ControlRequest.Promote(2, "vm"));
        group.faults().partition(List.of());
        group.control(group.endpoints().get(0), new ControlRequest.Follow(2, second));
    }

    private LoadReport run(List<Integer> endpoints, Consumer<LoadProgress> progress) {
        LoadOptions.Login writer = new LoadOptions.Login(
                group.settings().writer().user(), group.settings().writer().password());
        Map<String, LoadOptions.Login> logins = Map.of("app", writer, "bodega", writer);
        List<LoadOptions.VmTarget> targets = endpoints.stream()
                .map(e -> new LoadOptions.VmTarget(
                        "127.0.0.1", group.port(group.endpoints().get(e))))
                .toList();
        return new LoadRunner(new LoadOptions(profile(), targets, logins, 7, 3_500, 2_000), progress).run();
    }

    private static LoadProfile profile() {
        Deployment deployment = new Deployment(List.of("temuco"), 1, List.of("orders"), 3, 3, 34, 1);
        Map<Operation, Double> mix = Map.of(
                Operation.AGED_READ, 1.0,
                Operation.LATEST_READ, 1.0,
                Operation.KEYED_WRITE, 1.0,
                Operation.LEDGER_INSERT, 1.0,
                Operation.TRANSACTION, 1.0);
        return new LoadProfile(
                "test",
                deployment,
                List.of(
                        new AccountProfile("app", 10_000, 10_000, 150, 3),
                        new AccountProfile("bodega", 10_000, 10_000, 50, 2)),
                new Traffic("status", 1_000, "latest", mix, 0.05, 0));
    }
}
