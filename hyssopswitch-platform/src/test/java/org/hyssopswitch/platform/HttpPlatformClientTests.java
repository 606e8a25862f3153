package org.hyssopswitch.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.ServerSocket;
import java.net.URI;
import java.util.concurrent.CompletionStage;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpPlatformClientTests {

    private static final int MAX_ANSWER_BYTES = 10_000;
    private static final VmAddress VM =
            new VmAddress(new VmId("vm1"), 7, new DataCentreId("recife"), new CellId("r1"), "127.0.0.1", 4000);
    private static final String VM_JSON = "{\"vm\":\"vm1\",\"incarnation\":7,\"dataCentre\":\"recife\",\"cell\":\"r1\","
            + "\"host\":\"127.0.0.1\",\"port\":4000}";

    @Test
    void readsAnObject() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.answering(200, "", "{\"path\":\"a/b\",\"version\":9,\"value\":\"aGk=\"}")) {
            StoredObject object =
                    client(server).read("a/b").toCompletableFuture().get().get();
            assertEquals(9, object.version());
            assertArrayEquals(new byte[] {'h', 'i'}, object.value());
            String request = server.request();
            assertTrue(request.startsWith("GET /objects/a/b HTTP/1.1\r\n"), request);
            assertTrue(request.contains("Authorization: Bearer secret\r\n"), request);
        }
    }

    @Test
    void watchesAPrefix() throws Exception {
        try (ScriptedServer server = ScriptedServer.answering(
                200, "", "{\"version\":12,\"objects\":[{\"path\":\"a/b\",\"version\":11,\"value\":\"\"}]}")) {
            PrefixChanges changes = client(server)
                    .watchPrefix("a/", 3, 50)
                    .toCompletableFuture()
                    .get()
                    .get();
            assertEquals(12, changes.version());
            assertEquals("a/b", changes.objects().get(0).path());
            assertTrue(server.request().startsWith("GET /objects/a/?after=3&wait=50 HTTP/1.1\r\n"));
        }
    }

    @Test
    void updatesWithTheExpectedVersion() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.answering(200, "", "{\"path\":\"a\",\"version\":4,\"value\":\"aGk=\"}")) {
            StoredObject object = client(server)
                    .update("a", 3, new byte[] {'h', 'i'})
                    .toCompletableFuture()
                    .get()
                    .get();
            assertEquals(4, object.version());
            String request = server.request();
            assertTrue(request.startsWith("PUT /objects/a?expected=3 HTTP/1.1\r\n"), request);
            assertTrue(request.endsWith("\r\n\r\nhi"), request);
        }
    }

    @Test
    void listsAndRegistersVms() throws Exception {
        try (ScriptedServer server = ScriptedServer.answering(200, "", "{\"live\":[" + VM_JSON + "],\"leaving\":[]}")) {
            PlatformClient.VmList list =
                    client(server).listVms().toCompletableFuture().get().get();
            assertEquals(java.util.List.of(VM), list.live());
        }
        try (ScriptedServer server = ScriptedServer.answering(200, "", VM_JSON)) {
            assertEquals(
                    Either.right(VM),
                    client(server).register(VM).toCompletableFuture().get());
            String request = server.request();
            assertTrue(request.startsWith("PUT /vms/vm1 HTTP/1.1\r\n"), request);
            assertTrue(request.endsWith(VM_JSON), request);
        }
    }

    /** Guards against an entry of another writer that hides all VMs of the fleet. */
    @Test
    void listsTheOtherVmsBesideEntriesThatNameNone() throws Exception {
        String outOfRange = VM_JSON.replaceFirst("\"port\":\\d+", "\"port\":99999");
        String beyondInt = VM_JSON.replaceFirst("\"port\":\\d+", "\"port\":4294967297");
        String entries = String.join(",", "17", "{}", outOfRange, VM_JSON, beyondInt);
        try (ScriptedServer server = ScriptedServer.answering(200, "", "{\"live\":[" + entries + "],\"leaving\":[]}")) {
            PlatformClient.VmList list =
                    client(server).listVms().toCompletableFuture().get().get();
            assertEquals(java.util.List.of(VM), list.live());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 |                      | {}                                         | NoAnswer",
                "200 |                      | {\"path\":\"a\",\"version\":\"x\",\"value\":\"\"} | NoAnswer",
                "200 |                      | {\"path\":\"a\",\"version\":1,\"value\":\"%%\"} | NoAnswer",
                "200 |                      | not json                                   | NoAnswer",
                "200 |                      | []                                         | NoAnswer",
                "401 |                      | {}                                         | Forbidden",
                "403 |                      | {}                                         | Forbidden",
                "404 |                      | {}                                         | NoAnswer",
                "409 |                      | {\"version\":8}                            | VersionConflict",
                "409 |                      | nothing                                    | NoAnswer",
                "429 | Retry-After: 2       | {}                                         | Throttled",
                "500 |                      | {}                                         | NoAnswer",
                "503 | Retry-After: 2       | {}                                         | NoAnswer"
            })
    void answersBecomeTypedFailures(int status, String header, String body, String failure) throws Exception {
        String headers = header == null ? "" : header + "\r\n";
        try (ScriptedServer server = ScriptedServer.answering(status, headers, body)) {
            PlatformFailure left = failureOf(client(server).update("a", 1, new byte[0]));
            assertEquals(failure, left.getClass().getSimpleName(), left.describe());
        }
    }

    @Test
    void conflictsAndThrottlingCarryTheirFigures() throws Exception {
        try (ScriptedServer server = ScriptedServer.answering(409, "", "{\"version\":8}")) {
            assertEquals(
                    new PlatformFailure.VersionConflict("a", 8),
                    failureOf(client(server).update("a", 1, new byte[0])));
        }
        try (ScriptedServer server = ScriptedServer.answering(429, "Retry-After: 0.25\r\n", "")) {
            assertEquals(
                    new PlatformFailure.Throttled("a", 250),
                    failureOf(client(server).read("a")));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 X\r\n",
                "HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n{\"path\":",
                "\u0001\u0002garbage\r\n\r\n"
            })
    void silenceAndBrokenAnswersAreNoAnswer(String answer) throws Exception {
        try (ScriptedServer silent = new ScriptedServer(answer, true);
                ScriptedServer closing = new ScriptedServer(answer, false)) {
            assertInstanceOf(
                    PlatformFailure.NoAnswer.class,
                    failureOf(client(silent, 200).update("a", 1, new byte[0])));
            assertInstanceOf(
                    PlatformFailure.NoAnswer.class,
                    failureOf(client(closing, 200).update("a", 1, new byte[0])));
        }
    }

    @Test
    void answersAboveTheBoundAreNoAnswer() throws Exception {
        String value = "A".repeat(2 * MAX_ANSWER_BYTES);
        try (ScriptedServer server =
                ScriptedServer.answering(200, "", "{\"path\":\"a\",\"version\":1,\"value\":\"" + value + "\"}")) {
            assertInstanceOf(
                    PlatformFailure.NoAnswer.class, failureOf(client(server).read("a")));
        }
    }

    @Test
    void aPlatformThatIsDownIsNoAnswer() throws Exception {
        URI url;
        try (ServerSocket free = new ServerSocket(0)) {
            url = URI.create("http://127.0.0.1:" + free.getLocalPort());
        }
        HttpPlatformClient client = new HttpPlatformClient(new PlatformOptions(url, "c", 2_000, MAX_ANSWER_BYTES));
        assertInstanceOf(PlatformFailure.NoAnswer.class, failureOf(client.read("a")));
    }

    @Test
    void closingEndsPendingAndLaterCalls() throws Exception {
        try (ScriptedServer server = new ScriptedServer("", true)) {
            HttpPlatformClient client = client(server, 60_000);
            CompletionStage<Either<PlatformFailure, StoredObject>> pending = client.watch("a", 1, 60_000);
            server.request();
            client.close();
            assertInstanceOf(PlatformFailure.NoAnswer.class, failureOf(pending));
            assertInstanceOf(PlatformFailure.NoAnswer.class, failureOf(client.read("a")));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"ftp://h/", "http:///x", "nonsense"})
    void otherUrlsAreRefused(String url) {
        assertThrows(HyssopException.class, () -> new PlatformOptions(URI.create(url), "c", 1, 1));
    }

    private static HttpPlatformClient client(ScriptedServer server) {
        return client(server, 20_000);
    }

    private static HttpPlatformClient client(ScriptedServer server, long timeoutMillis) {
        return new HttpPlatformClient(new PlatformOptions(server.url(), "secret", timeoutMillis, MAX_ANSWER_BYTES));
    }

    private static <T> PlatformFailure failureOf(CompletionStage<Either<PlatformFailure, T>> stage) throws Exception {
        return stage.toCompletableFuture().get().getLeft();
    }
}
