package org.hyssopswitch.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;
import org.hyssopswitch.standin.platform.PlatformCredential;
import org.hyssopswitch.standin.platform.PlatformFaults;
import org.hyssopswitch.standin.platform.PlatformServer;
import org.hyssopswitch.standin.platform.PlatformSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CtlMainTests {

    private static final String DECLARATIONS =
            """
            databases:
              - id: mare.renewals
                slots: 2
                connections: 16
                endpoints:
                  - {id: mare.renewals-1, dataCentre: recife, cell: r1, host: 10.0.0.1, port: 5432}
            accounts:
              - id: mare.school
                rate: {perSecond: 50, burst: 100}
                databases: [mare.renewals]
            """;

    @TempDir
    private Path directory;

    private PlatformServer platform;
    private HttpPlatformClient vms;
    private Path first;
    private Path second;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformServer(PlatformSettings.of(List.of(
                PlatformCredential.ofTeam("mare", "mare-token"),
                PlatformCredential.ofTeam("pellets", "pellets-token"),
                PlatformCredential.of("vm", "vm-token", PlatformCredential.Kind.VM))));
        platform.start();
        vms = new HttpPlatformClient(new PlatformOptions(URI.create(platform.url()), "vm-token", 5_000, 1 << 20));
        Files.writeString(directory.resolve("mare"), "mare-token\n");
        Files.writeString(directory.resolve("pellets"), "pellets-token\n");
        first = declare("first", DECLARATIONS);
        second = declare("second", DECLARATIONS);
    }

    @AfterEach
    void stop() {
        vms.close();
        platform.close();
    }

    @Test
    void appliesAndShowsDeclarations() {
        assertEquals(0, run("validate", first.toString()).code);
        assertTrue(run("diff", first.toString()).out.contains("+ databases[mare.renewals]"));
        Result applied = apply(first);
        assertEquals(0, applied.code, applied.err);
        assertTrue(applied.out.contains("accepted as version 1"), applied.out);
        assertTrue(apply(first).out.contains("unchanged, version 1"));
        assertTrue(run("diff", first.toString()).out.contains("0 differences"));
        assertTrue(run("get", "mare").out.contains("id: \"mare.school\""));
    }

    @Test
    void aSecondOperatorSeesTheChangeOfTheFirstAndOverwritesNothing() throws IOException {
        assertEquals(0, apply(first).code);
        assertEquals(0, run("get", "mare", "--into", other().toString()).code);
        Files.writeString(first.resolve("teams/mare/team.yaml"), DECLARATIONS.replace("burst: 100", "burst: 70"));
        assertEquals(0, apply(first).code);
        Files.writeString(other().resolve("teams/mare/team.yaml"), DECLARATIONS.replace("slots: 2", "slots: 3"));
        Result conflict = apply(other());
        assertEquals(3, conflict.code);
        assertTrue(conflict.err.contains("~ accounts[mare.school].rate.burst: 100.0 -> 70.0"), conflict.err);
        assertEquals(70, stored().accounts().get(0).rate().burst());
        assertEquals(2, stored().databases().get(0).slots());
    }

    @Test
    void declarationsWithoutARecordDoNotOverwriteAConfiguration() {
        assertEquals(0, apply(first).code);
        Result conflict = run("apply", second.toString(), "--wait-millis", "0");
        assertEquals(0, conflict.code, "equal declarations change nothing");
        assertEquals(0, run("account", "set", "mare.school", "--burst", "9", "--wait-millis", "0").code);
        Path third = second.getParent().resolve("third");
        assertEquals(3, apply(declareUnchecked(third)).code);
        assertEquals(0, run("apply", third.toString(), "--base", "2", "--wait-millis", "0").code);
        assertEquals(100, stored().accounts().get(0).rate().burst());
    }

    @Test
    void keysAreCreatedPrintedOnceAndWithdrawn() {
        apply(first);
        Result created = run("key", "create", "mare.school", "k1", "--wait-millis", "0");
        assertEquals(0, created.code, created.err);
        String key = created.out.strip();
        assertTrue(ScramUtils.verify(key, stored().accounts().get(0).keys().get(0)));
        assertFalse(new String(object().value(), StandardCharsets.UTF_8).contains(key));
        assertEquals(1, run("key", "create", "mare.school", "k1", "--wait-millis", "0").code);
        assertEquals(0, run("key", "withdraw", "mare.school", "k1", "--wait-millis", "0").code);
        assertTrue(stored().accounts().get(0).keys().isEmpty());
    }

    @Test
    void ratesAndDrainsAreSet() {
        apply(first);
        assertEquals(0, run("account", "set", "mare.school", "--rate", "7", "--wait-millis", "0").code);
        assertEquals(7, stored().accounts().get(0).rate().perSecond());
        assertEquals(100, stored().accounts().get(0).rate().burst());
        assertEquals(0, run("drain", "mare.renewals-1", "--wait-millis", "0").code);
        assertTrue(stored().databases().get(0).endpoints().get(0).leaving());
        assertEquals(0, run("drain", "mare.renewals-1", "--undo", "--wait-millis", "0").code);
        assertFalse(stored().databases().get(0).endpoints().get(0).leaving());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "key create school k1                       | 1 | ACCOUNT 'school'",
                "key create mare.absent k1                  | 1 | ACCOUNT 'mare.absent' does not exist",
                "key create mare.school K1                  | 1 | K1",
                "key withdraw mare.school absent            | 1 | KEY 'absent' does not exist",
                "key create pellets.x k1                    | 1 | ACCOUNT 'pellets.x' does not exist",
                "account set mare.school                    | 1 | --rate",
                "account set mare.school --rate -3          | 1 | -3.0",
                "account set mare.school --rate x           | 2 | --rate",
                "drain mare.absent                          | 1 | ENDPOINT 'mare.absent' does not exist",
                "get absent                                 | 1 | TEAM 'absent'",
                "get Not/A/Team                             | 1 | Not/A/Team",
                "get mare --platform nonsense               | 1 | --platform 'nonsense'",
                "get mare --credential-file /nonexistent/c  | 1 | /nonexistent/c",
                "validate /nonexistent/d                    | 1 | /nonexistent/d",
                "apply                                      | 2 | DIR",
                "nothing                                    | 2 | nothing",
                "key                                        | 2 | subcommand"
            })
    void mistakesNameTheFieldAndTheValue(String arguments, int code, String message) {
        apply(first);
        Result result = run(arguments.split(" "));
        assertEquals(code, result.code, result.err);
        assertTrue(result.err.contains(message), result.err);
        assertTrue(result.out.isEmpty(), result.out);
    }

    @Test
    void allMistakesInDeclarationsAreReported() throws IOException {
        Files.writeString(
                first.resolve("teams/mare/team.yaml"),
                DECLARATIONS.replace("slots: 2", "slots: 0").replace("perSecond: 50", "perSecond: fast"));
        Result result = run("validate", first.toString());
        assertEquals(1, result.code);
        assertTrue(result.err.contains("databases[0].slots") && result.err.contains("'fast'"), result.err);
        assertEquals(1, apply(first).code);
        assertEquals(0, object().version());
    }

    @Test
    void aTeamsCredentialChangesOnlyItsOwnSubtree() {
        Result result = run(
                "apply",
                first.toString(),
                "--wait-millis",
                "0",
                "--credential-file",
                directory.resolve("pellets").toString());
        assertEquals(4, result.code);
        assertTrue(result.err.contains("config/teams/mare"), result.err);
        assertEquals(0, object().version());
    }

    @Test
    void aLostAnswerIsResolvedByReadingAgain() {
        assertEquals(0, apply(first).code);
        platform.faults().loseAnswers(1);
        Result result = run(
                "account", "set", "mare.school", "--burst", "5", "--wait-millis", "0", "--call-timeout-millis", "700");
        assertEquals(0, result.code, result.err);
        assertEquals(2, object().version());
        assertEquals(5, stored().accounts().get(0).rate().burst());
    }

    @Test
    void aPlatformThatIsDownIsNamed() {
        platform.faults().setOutage(PlatformFaults.Outage.REFUSING);
        Result result = apply(first);
        assertEquals(4, result.code);
        assertTrue(result.err.contains("config/teams/mare"), result.err);
    }

    @Test
    void waitsUntilInForceAndSaysWhereItIsNot() {
        register("vm1", "r1");
        register("vm2", "s1");
        report("r1", 1_000, "");
        Result late = run("apply", first.toString(), "--wait-millis", "300");
        assertEquals(5, late.code);
        assertTrue(late.err.contains("cell s1: no report of its 1 VMs"), late.err);
        assertFalse(late.err.contains("cell r1"), late.err);
        report("s1", 1, "{\"vm\":\"vm2\",\"version\":1}");
        Result lagging = run("apply", first.toString(), "--wait-millis", "300");
        assertEquals(5, lagging.code);
        assertTrue(lagging.err.contains("vm2 (version 1)"), lagging.err);
        report("s1", 1_000, "");
        assertEquals(0, run("apply", first.toString(), "--wait-millis", "5000").code);
        assertTrue(run("status").out.contains("cell=s1"), run("status").out);
    }

    @Test
    void helpAndVersionAreShown() {
        assertTrue(run("--help").out.contains("Exit codes"));
        assertTrue(run("--version").out.startsWith("hyssopctl "));
        assertTrue(run("key", "create", "--help").out.contains("ACCOUNT"));
    }

    private Result apply(Path root) {
        return run("apply", root.toString(), "--wait-millis", "0");
    }

    private Path other() {
        return directory.resolve("other");
    }

    private Path declare(String name, String yaml) throws IOException {
        Path root = directory.resolve(name);
        Path team = Files.createDirectories(root.resolve("teams/mare"));
        Files.writeString(team.resolve("team.yaml"), yaml);
        return root;
    }

    private Path declareUnchecked(Path root) {
        try {
            return declare(root.getFileName().toString(), DECLARATIONS);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private StoredObject object() {
        return vms.read("config/teams/mare").toCompletableFuture().join().get();
    }

    private TeamConfiguration stored() {
        return new TeamConfigurationCodec()
                .decode(new TeamId("mare"), object().version(), object().value())
                .get();
    }

    private void register(String vm, String cell) {
        vms.register(new VmAddress(new VmId(vm), 1, new DataCentreId("recife"), new CellId(cell), "127.0.0.1", 4_000))
                .toCompletableFuture()
                .join()
                .get();
    }

    private void report(String cell, long version, String lagging) {
        String path = "status/cells/" + cell;
        long current = vms.read(path).toCompletableFuture().join().get().version();
        String json =
                "{\"cell\":\"" + cell + "\",\"dataCentre\":\"recife\",\"reporter\":\"vm1\",\"members\":1,\"version\":"
                        + version + ",\"lagging\":[" + lagging + "]}";
        vms.update(path, current, json.getBytes(StandardCharsets.UTF_8))
                .toCompletableFuture()
                .join()
                .get();
    }

    private Result run(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int code = CtlMain.run(new PrintWriter(out), new PrintWriter(err), withDefaults(arguments));
        return new Result(code, out.toString(), err.toString());
    }

    /** Adds the platform and the credential to commands that need them and do not name them. */
    private String[] withDefaults(String... arguments) {
        List<String> result = new java.util.ArrayList<>(List.of(arguments));
        List<String> local = List.of("validate", "--help", "--version", "nothing");
        if (local.contains(arguments[0]) || List.of(arguments).equals(List.of("key"))) {
            return arguments;
        }
        if (!result.contains("--platform")) {
            result.addAll(List.of("--platform", platform.url()));
        }
        if (!result.contains("--credential-file")) {
            result.addAll(List.of("--credential-file", directory.resolve("mare").toString()));
        }
        return result.toArray(String[]::new);
    }

    private record Result(int code, String out, String err) {}
}
