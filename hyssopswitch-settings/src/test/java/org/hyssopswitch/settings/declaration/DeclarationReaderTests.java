package org.hyssopswitch.settings.declaration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.settings.binding.SettingsFailure;
import org.hyssopswitch.settings.key.KeyCreator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DeclarationReaderTests {

    private static final TeamId TEAM = new TeamId("mare");
    private static final String DATABASES =
            """
            databases:
              - id: mare.renewals
                slots: 2
                connections: 16
                endpoints:
                  - {id: mare.renewals-2, dataCentre: recife, cell: r1, host: 10.0.0.2, port: 5432, leaving: true}
                  - {id: mare.renewals-1, dataCentre: recife, cell: r1, host: 10.0.0.1, port: 5432}
                  - {id: mare.renewals-3, dataCentre: salvador, cell: s1, host: 10.0.1.1, port: 5432}
            """;
    private static final String ACCOUNTS =
            """
            accounts:
              - id: mare.school
                rate: {perSecond: 50, burst: 100.5}
                databases: [mare.renewals]
                keys:
                  - {id: first, salt: AAAAAAAAAAAAAAAA, iterations: 4096, storedKey: KEY, serverKey: KEY}
            routes:
              - {id: validity, database: mare.renewals, read: true, maxAgeMillis: 2000, repeatable: true}
              - {id: issue, database: mare.renewals}
            """
                    .replace("KEY", "A".repeat(43) + "=");

    private final TeamConfigurationCodec codec = new TeamConfigurationCodec();

    @TempDir
    private Path root;

    @Test
    void readsATeamFromSeveralFiles() throws IOException {
        TeamConfiguration team = read(DATABASES, ACCOUNTS);
        assertEquals(3, team.databases().get(0).endpoints().size());
        assertTrue(team.databases().get(0).endpoints().get(0).leaving());
        assertEquals(100.5, team.accounts().get(0).rate().burst());
        assertEquals(2, team.routes().size());
        assertFalse(team.routes().get(1).read());
    }

    @Test
    void theCodecIsCanonicalAndKeepsEverything() throws IOException {
        TeamConfiguration team = read(DATABASES, ACCOUNTS);
        byte[] value = codec.encode(team);
        TeamConfiguration decoded = codec.decode(TEAM, 7, value).get();
        assertEquals(7, decoded.version());
        assertEquals(team.accounts(), decoded.accounts());
        assertEquals(
                Set.copyOf(team.databases().get(0).endpoints()),
                Set.copyOf(decoded.databases().get(0).endpoints()));
        assertEquals(Set.copyOf(team.routes()), Set.copyOf(decoded.routes()));
        assertArrayEquals(value, codec.encode(decoded));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "id: mare.renewals\\n    slots: 2 | id: other.renewals\\n    slots: 2     | databases[0].id",
                "mare.renewals-2                 | other.renewals-2                      | databases[0].endpoints[0].id",
                "mare.renewals-2                 | mare.renewals-1                       | databases[0].endpoints[1].id",
                "10.0.0.2                        | 10.0.0.1                              | databases[0].endpoints[1]",
                "slots: 2                        | slots: 0                              | databases[0].slots",
                "connections: 16                 | connections: 1                        | databases[0].connections",
                "port: 5432, leaving: true       | port: 0                               | databases[0].endpoints[0].port",
                "leaving: true                   | leaving: maybe                        | databases[0].endpoints[0].leaving",
                "leaving: true                   | draining: true                        | databases[0].endpoints[0].draining",
                "perSecond: 50                   | perSecond: -1                         | accounts[0].rate.perSecond",
                "perSecond: 50                   | perSecond: .inf                       | ''",
                "burst: 100.5                    | burst: 0.5                            | accounts[0].rate.burst",
                "databases: [mare.renewals]      | databases: [mare.orders]              | accounts[0].databases[0]",
                "iterations: 4096                | iterations: 100                       | accounts[0].keys[0].iterations",
                "salt: AAAAAAAAAAAAAAAA          | salt: '!'                             | accounts[0].keys[0]",
                "id: issue, database: mare.renewals | id: issue, database: mare.absent   | routes[1].database",
                "id: issue, database: mare.renewals | id: validity, database: mare.renewals | routes[1].id",
                "id: issue, database: mare.renewals | id: undeclared, database: mare.renewals | routes[1]",
                "id: issue, database: mare.renewals | id: issue, database: mare.renewals, open: true | routes[1]",
                "id: issue, database: mare.renewals | id: issue, database: mare.renewals, maxAgeMillis: 5 | routes[1]",
                "id: mare.school                 | id: other.school                      | accounts[0].id"
            })
    void everyMistakeNamesItsFileAndField(String from, String to, String path) throws IOException {
        String databases = DATABASES.replace(from.replace("\\n", "\n"), to.replace("\\n", "\n"));
        String accounts = ACCOUNTS.replace(from, to);
        assertFalse(databases.equals(DATABASES) && accounts.equals(ACCOUNTS), "the case must change the declarations");
        write(databases, accounts);
        SettingsFailure failure = new DeclarationReader().read(root).getLeft();
        assertTrue(
                failure.mistakes().stream()
                        .anyMatch(m -> m.path().equals(path) && m.file().endsWith(".yaml")),
                failure.describe());
    }

    @Test
    void mistakesOfAllFilesAreReportedOnce() throws IOException {
        write(DATABASES.replace("slots: 2", "slots: x"), ACCOUNTS.replace("perSecond: 50", "perSecond: x"));
        Files.writeString(root.resolve("teams/mare/notes.txt"), "x");
        Files.writeString(root.resolve("teams/stray.yaml"), "x");
        Files.createDirectories(root.resolve("teams/with.dot"));
        SettingsFailure failure = new DeclarationReader().read(root).getLeft();
        assertEquals(
                List.of("accounts[0].rate.perSecond", "databases[0].slots"),
                failure.mistakes().stream()
                        .map(m -> m.path())
                        .filter(p -> !p.isEmpty())
                        .sorted()
                        .toList());
        String files = failure.mistakes().stream().map(m -> m.file()).collect(Collectors.joining(" "));
        assertTrue(files.contains("notes.txt") && files.contains("stray.yaml") && files.contains("with.dot"), files);
    }

    @Test
    void aDirectoryWithoutTeamsIsReported() {
        assertFalse(new DeclarationReader().read(root).getLeft().mistakes().isEmpty());
    }

    @Property(seed = "581652", tries = 300)
    void randomValuesOfTheObjectAreRefused(@ForAll @Size(max = 200) byte[] value) {
        byte[] json = value.clone();
        if (json.length > 0) {
            json[0] = '[';
        }
        assertFalse(codec.decode(TEAM, 1, json).getLeft().mistakes().isEmpty());
    }

    @Test
    void aSubtreeWithAnotherTeamsNamesIsRefused() throws IOException {
        byte[] value = codec.encode(read(DATABASES, ACCOUNTS));
        assertTrue(codec.decode(new TeamId("pellets"), 1, value).isLeft());
        assertTrue(codec.decode(TEAM, 1, "{}".getBytes(StandardCharsets.UTF_8)).isRight());
    }

    @Test
    void aCreatedKeyIsAcceptedByItsVerifierOnly() {
        KeyCreator creator = new KeyCreator(new SecureRandom());
        KeyCreator.CreatedKey first = creator.create(new KeyId("k"));
        KeyCreator.CreatedKey second = creator.create(new KeyId("k"));
        assertTrue(ScramUtils.verify(first.key(), first.verifier()));
        assertFalse(ScramUtils.verify(first.key(), second.verifier()));
        assertFalse(first.toString().contains(first.key()));
    }

    private TeamConfiguration read(String databases, String accounts) throws IOException {
        write(databases, accounts);
        return new DeclarationReader().read(root).get().get(TEAM);
    }

    private void write(String databases, String accounts) throws IOException {
        Path team = Files.createDirectories(root.resolve("teams/mare"));
        Files.writeString(team.resolve("databases.yaml"), databases);
        Files.writeString(team.resolve("accounts.yaml"), accounts);
    }
}
