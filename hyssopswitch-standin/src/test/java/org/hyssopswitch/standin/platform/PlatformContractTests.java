package org.hyssopswitch.standin.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.platform.HttpPlatformClient;
import org.hyssopswitch.platform.PlatformClient;
import org.hyssopswitch.platform.PlatformOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class PlatformContractTests {

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final int WATCHES = 200;
    private static final int MAX_ANSWER_BYTES = 4 << 20;

    private final List<PlatformClient> clients = new ArrayList<>();
    private PlatformServer platform;

    @BeforeEach
    void start() {
        platform = new PlatformServer(PlatformSettings.of(List.of(
                PlatformCredential.of("admin", "admin-token", PlatformCredential.Kind.ADMIN),
                PlatformCredential.of("vm", "vm-token", PlatformCredential.Kind.VM),
                PlatformCredential.ofTeam("red", "red-token"))));
        platform.start();
    }

    @AfterEach
    void stop() {
        clients.forEach(PlatformClient::close);
        platform.close();
    }

    @Test
    void readsAMissingObjectAsVersionZero() {
        StoredObject object = await(client("vm").read("limits/recife/1")).get();
        assertEquals(0, object.version());
        assertEquals(0, object.value().length);
    }

    @Test
    void ordersUpdatesOfAllObjectsByOneVersion() {
        PlatformClient client = client("vm");
        assertEquals(1, await(client.update("a/x", 0, bytes("1"))).get().version());
        assertEquals(2, await(client.update("a/y", 0, bytes("2"))).get().version());
        assertEquals(3, await(client.update("a/x", 1, bytes("3"))).get().version());
        assertArrayEquals(bytes("3"), await(client.read("a/x")).get().value());
        PrefixChanges changes = await(client.watchPrefix("a/", 2, 0)).get();
        assertEquals(3, changes.version());
        assertEquals(
                List.of("a/x"),
                changes.objects().stream().map(StoredObject::path).toList());
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "2, 1", "7, 1"})
    void refusesAnUpdateOfAnotherVersionWithTheCurrentOne(long expected, long current) {
        PlatformClient client = client("vm");
        await(client.update("a", 0, bytes("1")));
        Either<PlatformFailure, StoredObject> result = await(client.update("a", expected, bytes("2")));
        assertEquals(new PlatformFailure.VersionConflict("a", current), result.getLeft());
        assertArrayEquals(bytes("1"), platform.read("a").value());
    }

    @ParameterizedTest
    @CsvSource({
        "admin, config/teams/red, true",
        "admin, leases/orders, true",
        "vm, leases/orders, true",
        "vm, config/teams/red, false",
        "red, config/teams/red, true",
        "red, config/teams/blue, false",
        "red, config/teams/red/x, false",
        "red, leases/orders, false",
        "stranger, leases/orders, false",
    })
    void letsACredentialWriteItsOwnPartOnly(String credential, String path, boolean allowed) {
        Either<PlatformFailure, StoredObject> result = await(client(credential).update(path, 0, bytes("1")));
        assertEquals(allowed, result.isRight());
        assertEquals(allowed ? 1 : 0, platform.read(path).version());
        if (!allowed) {
            assertInstanceOf(PlatformFailure.Forbidden.class, result.getLeft());
        }
    }

    @Test
    void letsEveryCredentialRead() {
        platform.update("config/teams/blue", 0, bytes("1"));
        assertEquals(1, await(client("red").read("config/teams/blue")).get().version());
    }

    @Test
    void wakesAWatchByTheUpdateThatItWaitsForOnly() {
        CompletionStage<Either<PlatformFailure, StoredObject>> single =
                client("vm").watch("a/x", 0, TIMEOUT_MILLIS);
        CompletionStage<Either<PlatformFailure, PrefixChanges>> prefix =
                client("vm").watchPrefix("a/", 0, TIMEOUT_MILLIS);
        while (platform.statistics().waiting() < 2) {
            Thread.onSpinWait();
        }
        platform.update("b", 0, bytes("0"));
        assertEquals(2, platform.statistics().waiting());
        platform.update("a/x", 0, bytes("1"));
        assertEquals(2, await(single).get().version());
        assertEquals(2, await(prefix).get().version());
        assertEquals(1, platform.statistics().calls(CallKind.WATCH));
    }

    @Test
    void answersAWatchUnchangedWhenItsWaitIsOver() {
        platform.update("a", 0, bytes("1"));
        assertEquals(1, await(client("vm").watch("a", 1, 1)).get().version());
        assertEquals(
                List.of(), await(client("vm").watchPrefix("a/", 1, 1)).get().objects());
        assertEquals(0, platform.statistics().waiting());
    }

    @Test
    void holdsNoThreadForAWaitingWatch() {
        PlatformClient client = client("vm");
        List<CompletionStage<Either<PlatformFailure, StoredObject>>> watches = new ArrayList<>();
        long before = serverThreads();
        for (int i = 0; i < WATCHES; i++) {
            watches.add(client.watch("a/" + i, 0, TIMEOUT_MILLIS));
        }
        while (platform.statistics().waiting() < WATCHES) {
            Thread.onSpinWait();
        }
        long added = serverThreads() - before;
        assertTrue(added < WATCHES / 2, () -> added + " threads for " + WATCHES + " watches");
        assertTrue(await(client.read("b")).isRight());
        for (int i = 0; i < WATCHES; i++) {
            platform.update("a/" + i, 0, bytes("1"));
        }
        watches.forEach(w -> assertTrue(await(w).get().version() > 0));
    }

    /** The client starts threads of its own as calls arrive together; they say nothing about the server. */
    private static long serverThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> !t.getName().startsWith("HttpClient-"))
                .count();
    }

    @Test
    void keepsAConnectionOverManyCalls() {
        PlatformClient client = client("vm");
        long version = 0;
        for (int i = 0; i < 1_000; i++) {
            version = await(client.update("a", version, bytes("" + i))).get().version();
        }
        assertEquals(1_000, version);
    }

    @Test
    void listsVmsAsLiveLeavingAndRemoved() {
        VmAddress vm = new VmAddress(
                new VmId("vm-1"), 7, new DataCentreId("recife"), new CellId("recife-1"), "127.0.0.1", 7000);
        PlatformClient client = client("vm");
        assertEquals(vm, await(client.register(vm)).get());
        assertEquals(
                new PlatformClient.VmList(List.of(vm), List.of()),
                await(client.listVms()).get());
        platform.leave(vm.vm());
        assertEquals(
                new PlatformClient.VmList(List.of(), List.of(vm)),
                await(client.listVms()).get());
        platform.remove(vm.vm());
        assertEquals(
                new PlatformClient.VmList(List.of(), List.of()),
                await(client.listVms()).get());
        assertTrue(await(client("red").register(vm)).getLeft() instanceof PlatformFailure.Forbidden);
    }

    @Test
    void losesTheAnswerOfAnUpdateThatTookEffect() {
        platform.faults().loseAnswers(1);
        PlatformClient client = client("vm");
        assertInstanceOf(
                PlatformFailure.NoAnswer.class,
                await(client.update("a", 0, bytes("1"))).getLeft());
        assertEquals(1, await(client.read("a")).get().version());
        assertEquals(2, await(client.update("a", 1, bytes("2"))).get().version());
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSING", "SILENT"})
    void hasNoEffectWhileDown(PlatformFaults.Outage outage) {
        platform.faults().setOutage(outage);
        PlatformClient client = client("vm-token", SHORT_TIMEOUT_MILLIS);
        assertInstanceOf(
                PlatformFailure.NoAnswer.class,
                await(client.update("a", 0, bytes("1"))).getLeft());
        platform.faults().setOutage(PlatformFaults.Outage.NONE);
        assertEquals(0, await(client.read("a")).get().version());
    }

    @Test
    void cutsOffOneClientOnly() {
        platform.faults().cut("vm");
        PlatformClient cut = client("vm-token", SHORT_TIMEOUT_MILLIS);
        assertInstanceOf(PlatformFailure.NoAnswer.class, await(cut.read("a")).getLeft());
        assertTrue(await(client("admin").read("a")).isRight());
        platform.faults().heal();
        assertTrue(await(cut.read("a")).isRight());
    }

    @Test
    void takesEffectBeforeASlowAnswer() {
        platform.faults().setSlowMillis(TIMEOUT_MILLIS);
        CompletionStage<Either<PlatformFailure, StoredObject>> update =
                client("vm").update("a", 0, bytes("1"));
        while (platform.read("a").version() == 0) {
            Thread.onSpinWait();
        }
        assertEquals(false, update.toCompletableFuture().isDone());
    }

    @Test
    void throttlesCallsOverTheBound() {
        platform.faults().setCallsPerSecond(1);
        PlatformClient client = client("vm");
        int throttled = 0;
        for (int i = 0; i < 20; i++) {
            Either<PlatformFailure, StoredObject> result = await(client.read("a"));
            throttled += result.isLeft() ? 1 : 0;
            result.peekLeft(f -> assertInstanceOf(PlatformFailure.Throttled.class, f));
        }
        assertEquals(throttled, platform.statistics().throttled());
        assertTrue(throttled > 0, "none of 20 calls at once was throttled");
        assertEquals(20, platform.statistics().calls(CallKind.READ));
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /objects/a/../b, 0, 400",
        "GET, /objects/a%20b, 0, 400",
        "PUT, /objects/a, 1, 400",
        "PUT, /objects/a?expected=x, 1, 400",
        "PUT, /objects/a/?expected=0, 1, 400",
        "PUT, /objects/a?expected=0, 1048577, 413",
        "PUT, /objects/a?expected=0, 1048576, 200",
        "PUT, /vms/vm-1, 2, 400",
        "DELETE, /objects/a, 0, 404",
        "GET, /unknown, 0, 404",
    })
    void answersMalformedCallsWithAnError(String method, String target, int bodyBytes, int status)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(platform.url() + target))
                .header("Authorization", "Bearer admin-token")
                .method(method, HttpRequest.BodyPublishers.ofByteArray(new byte[bodyBytes]))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(status, response.statusCode(), response.body());
    }

    private PlatformClient client(String name) {
        return client(name + "-token", TIMEOUT_MILLIS);
    }

    private PlatformClient client(String token, long timeoutMillis) {
        PlatformClient client = new HttpPlatformClient(
                new PlatformOptions(URI.create(platform.url()), token, timeoutMillis, MAX_ANSWER_BYTES));
        clients.add(client);
        return client;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
