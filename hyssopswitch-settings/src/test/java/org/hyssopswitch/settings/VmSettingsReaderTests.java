package org.hyssopswitch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.hyssopswitch.core.key.StalenessPolicy;
import org.hyssopswitch.settings.binding.SettingsFailure;
import org.hyssopswitch.settings.binding.SettingsMistake;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VmSettingsReaderTests {

    private static final String VALID =
            """
            vm: recife-1
            dataCentre: recife
            cell: recife-a
            listeners:
              caller: {host: 0.0.0.0, port: 6432}
              peer: {host: 10.0.0.1, port: 7000}
              operations: {host: 10.0.0.1, port: 7001}
            platform:
              url: http://10.0.0.9:8080
              credential: platform-credential
            fleetSecret: sixteen bytes or more
            endpointUsers:
              writer: {name: hyssop_writer, password: w}
              reader: {name: hyssop_reader, password: r}
            """;

    @TempDir
    private Path directory;

    @Test
    void readsSettingsWithDefaults() throws IOException {
        VmSettings settings = read(VALID).get();
        assertEquals("recife-1", settings.vm().value());
        assertEquals(6432, settings.listeners().caller().port());
        assertEquals(20, settings.tuning().engine().tickMillis());
        assertEquals(StalenessPolicy.serveLastKnown(), settings.keys().policy());
        assertTrue(settings.tls().isEmpty());
    }

    @Test
    void readsADeclaredStalenessPolicyAndTuning() throws IOException {
        VmSettings settings = read(VALID
                        + "keys: {whenStale: refuse, maxAgeMillis: 60000}\ntuning: {queue: {maxStatementsPerAccount: 9}}\n")
                .get();
        assertEquals(StalenessPolicy.refuseBeyond(60_000), settings.keys().policy());
        assertEquals(9, settings.tuning().queue().maxStatementsPerAccount());
    }

    @Test
    void readsSecretsFromFilesAndHidesThem() throws IOException {
        Path secret = Files.writeString(directory.resolve("secret"), "a secret from a file\n");
        VmSettings settings = read(VALID.replace("sixteen bytes or more", "{file: " + secret + "}"))
                .get();
        assertEquals("a secret from a file", settings.fleetSecret().value());
        assertFalse(settings.toString().contains("a secret from"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "vm: recife-1                  | vm: Recife_1                        | vm",
                "vm: recife-1                  | vm: 7                               | vm",
                "vm: recife-1                  | vn: recife-1                        | vn,vm",
                "port: 6432                    | port: 65536                         | listeners.caller.port",
                "port: 6432                    | port: '6432'                        | listeners.caller.port",
                "port: 6432                    | port: -1                            | listeners.caller.port",
                "port: 6432                    | port: 1.5                           | listeners.caller.port",
                "port: 6432                    | port: 99999999999999                | listeners.caller.port",
                "host: 0.0.0.0                 | host: example.org                   | listeners.caller.host",
                "host: 10.0.0.1, port: 7000    | host: 0.0.0.0, port: 7000           | listeners.peer.host",
                "host: 10.0.0.1, port: 7001    | host: 10.0.0.1, port: 7000          | listeners.operations",
                "{host: 10.0.0.1, port: 7001}  | 7001                                | listeners.operations",
                "url: http://10.0.0.9:8080     | url: 'ftp://10.0.0.9'               | platform",
                "url: http://10.0.0.9:8080     | url: 'http://a b'                   | platform.url",
                "url: http://10.0.0.9:8080     | url: http://10.0.0.1:7000           | listeners.peer",
                "credential: platform-credential | credential: ''                    | platform.credential",
                "credential: platform-credential | credential: {file: /nonexistent/x} | platform.credential",
                "credential: platform-credential | credential: [a]                   | platform.credential",
                "fleetSecret: sixteen bytes or more | fleetSecret: short             | fleetSecret",
                "fleetSecret: sixteen bytes or more | other: x                       | other,fleetSecret",
                "name: hyssop_reader           | name: hyssop_writer                 | endpointUsers",
                "vm: recife-1                  | vm: [                               | ``",
                "vm: recife-1                  | vm: recife-1\\nvm: recife-2          | ``"
            })
    void everyMistakeNamesItsField(String from, String to, String paths) throws IOException {
        String changed = VALID.replace(from, to.replace("\\n", "\n"));
        assertFalse(changed.equals(VALID), "the case must change the settings");
        assertEquals(Set.of(paths.split(",")), pathsOf(read(changed).getLeft()));
    }

    @Test
    void allMistakesAreReportedAtOnce() throws IOException {
        String broken = VALID.replace("port: 6432", "port: 70000")
                        .replace("vm: recife-1", "vm: Recife")
                        .replace("fleetSecret: sixteen bytes or more", "fleetsecret: x")
                + "tuning: {engine: {tickMillis: 0}, queue: {deep: 1}}\n";
        SettingsFailure failure = read(broken).getLeft();
        assertEquals(
                Set.of(
                        "listeners.caller.port",
                        "vm",
                        "fleetsecret",
                        "fleetSecret",
                        "tuning.engine.tickMillis",
                        "tuning.queue.deep"),
                pathsOf(failure));
        assertTrue(failure.describe().contains("70000"), failure.describe());
        assertTrue(failure.mistakes().get(0).file().endsWith("vm.yaml"));
    }

    @Test
    void aMissingFileIsReported() {
        assertEquals(
                Set.of(""),
                pathsOf(new VmSettingsReader().read(directory.resolve("absent")).getLeft()));
    }

    @Property(seed = "920088", tries = 200)
    void randomTextIsRefused(@ForAll @StringLength(max = 200) String text) throws IOException {
        Path file = Files.createTempFile("vm", ".yaml");
        try {
            Files.writeString(file, text);
            assertFalse(new VmSettingsReader().read(file).getLeft().mistakes().isEmpty());
        } finally {
            Files.delete(file);
        }
    }

    private Either<SettingsFailure, VmSettings> read(String yaml) throws IOException {
        return new VmSettingsReader().read(Files.writeString(directory.resolve("vm.yaml"), yaml));
    }

    private static Set<String> pathsOf(SettingsFailure failure) {
        return failure.mistakes().stream().map(SettingsMistake::path).collect(Collectors.toSet());
    }
}
