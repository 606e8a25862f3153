package org.hyssopswitch.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that use one silent connection to the platform after the other. */
class SilentPlatformConnectionTests {

    private static final int CONNECTIONS = 3;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final byte[] BODY =
            "{\"path\":\"a\",\"version\":9,\"value\":\"aGk=\"}".getBytes(StandardCharsets.UTF_8);

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CyclicBarrier together = new CyclicBarrier(CONNECTIONS);
    private final Set<InetSocketAddress> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean opening = true;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    @Test
    void reachesThePlatformAfterOneTimeoutWhenAllOpenConnectionsHaveGoneSilent() throws Exception {
        URI url = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        HttpPlatformClient client =
                new HttpPlatformClient(new PlatformOptions(url, "secret", CALL_TIMEOUT_MILLIS, 10_000));
        List<CompletionStage<Either<PlatformFailure, StoredObject>>> calls =
                Stream.generate(() -> client.read("a")).limit(CONNECTIONS).toList();
        for (CompletionStage<Either<PlatformFailure, StoredObject>> call : calls) {
            assertTrue(call.toCompletableFuture().get().isRight());
        }
        opening = false;
        assertTrue(client.read("a").toCompletableFuture().get().isLeft());
        assertTrue(client.read("a").toCompletableFuture().get().isRight(), "the retry must use a new connection");
    }

    /** Answers the first calls together, so that each needs a connection, and later ones on new connections only. */
    private void answer(HttpExchange exchange) throws IOException {
        boolean open = !connections.add(exchange.getRemoteAddress());
        if (open && !opening) {
            return;
        }
        if (opening) {
            awaitOthers();
        }
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, BODY.length);
        exchange.getResponseBody().write(BODY);
        exchange.close();
    }

    private void awaitOthers() throws IOException {
        try {
            together.await(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new IOException("the calls must arrive together", e);
        }
    }
}
