package org.hyssopswitch.platform;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;

/**
 * The platform over HTTP. It repeats nothing: whether a call may be repeated is decided by who made it.
 *
 * <p>An answer that is late, broken, too long or of a server error becomes {@link PlatformFailure.NoAnswer}, after
 * which an update may or may not have taken effect.
 */
public final class HttpPlatformClient implements PlatformClient {

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final PlatformOptions options;
    private final AtomicReference<HttpClient> http;
    private final Map<Long, CompletableFuture<?>> pending = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();
    private volatile boolean closed;

    /**
     * Creates a client; it connects with the first call.
     *
     * @param options how to reach the platform
     */
    public HttpPlatformClient(PlatformOptions options) {
        this.options = options;
        this.http = new AtomicReference<>(createHttpClient());
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(String path) {
        return call(path, request("/objects/" + encode(path)).GET(), 0, PlatformJson::object);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> watch(
            String path, long afterVersion, long waitMillis) {
        String target = "/objects/" + encode(path) + "?after=" + afterVersion + "&wait=" + waitMillis;
        return call(path, request(target).GET(), waitMillis, PlatformJson::object);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, PrefixChanges>> watchPrefix(
            String prefix, long afterVersion, long waitMillis) {
        String target = "/objects/" + encode(prefix) + "?after=" + afterVersion + "&wait=" + waitMillis;
        return call(prefix, request(target).GET(), waitMillis, PlatformJson::changes);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            String path, long expectedVersion, byte[] value) {
        HttpRequest.Builder request = request("/objects/" + encode(path) + "?expected=" + expectedVersion)
                .header("Content-Type", "application/octet-stream")
                .PUT(HttpRequest.BodyPublishers.ofByteArray(value));
        return call(path, request, 0, PlatformJson::object);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, VmList>> listVms() {
        return call("vms", request("/vms").GET(), 0, PlatformJson::vms);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, VmAddress>> register(VmAddress vm) {
        String path = "vms/" + vm.vm();
        try {
            HttpRequest.Builder request = request("/" + path)
                    .header("Content-Type", "application/json")
                    .PUT(HttpRequest.BodyPublishers.ofByteArray(PlatformJson.write(vm)));
            return call(path, request, 0, body -> body.length == 0 ? vm : PlatformJson.address(body));
        } catch (IOException e) {
            return CompletableFuture.completedFuture(noAnswer(path, e));
        }
    }

    @Override
    public void close() {
        closed = true;
        pending.values().forEach(f -> f.completeExceptionally(new IOException("the client is closed")));
    }

    private HttpClient createHttpClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(options.callTimeoutMillis()))
                .build();
    }

    private HttpRequest.Builder request(String target) {
        String base = options.url().toString();
        String root = base.endsWith("/") ? base.substring(0, base.length() - 1) : base;
        return HttpRequest.newBuilder(URI.create(root + target))
                .header("Authorization", "Bearer " + options.credential());
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> call(
            String path, HttpRequest.Builder request, long waitMillis, BodyReader<T> reader) {
        if (closed) {
            return CompletableFuture.completedFuture(noAnswer(path, new IOException("the client is closed")));
        }
        long timeoutMillis = options.callTimeoutMillis() + waitMillis;
        HttpRequest built = request.timeout(Duration.ofMillis(timeoutMillis)).build();
        HttpClient client = http.get();
        CompletableFuture<HttpResponse<byte[]>> exchange =
                client.sendAsync(built, info -> new BoundedBodySubscriber(options.maxAnswerBytes()));
        // The request's own timeout ends with the headers; this one bounds the body as well.
        CompletableFuture<HttpResponse<byte[]>> bounded =
                exchange.copy().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
        long call = calls.incrementAndGet();
        pending.put(call, bounded);
        return bounded.handle((response, error) -> {
            pending.remove(call);
            if (error != null) {
                exchange.cancel(true);
                if (isTimeout(error)) {
                    // Other open connections may have gone silent as well; a new client opens new ones.
                    http.compareAndSet(client, createHttpClient());
                }
                return noAnswer(path, error);
            }
            return interpret(path, response, reader);
        });
    }

    private static boolean isTimeout(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof TimeoutException || cause instanceof HttpTimeoutException;
    }

    private static <T> Either<PlatformFailure, T> interpret(
            String path, HttpResponse<byte[]> response, BodyReader<T> reader) {
        try {
            return switch (response.statusCode()) {
                case 200, 201, 204 -> Either.right(reader.read(response.body()));
                case 401, 403 -> Either.left(new PlatformFailure.Forbidden(path));
                case 409 ->
                    Either.left(new PlatformFailure.VersionConflict(path, PlatformJson.version(response.body())));
                case 429 -> Either.left(new PlatformFailure.Throttled(path, retryAfterMillis(response)));
                default -> Either.left(new PlatformFailure.NoAnswer(path, "status " + response.statusCode()));
            };
        } catch (IOException e) {
            return noAnswer(path, e);
        }
    }

    /** The delay in Retry-After, which is in seconds and may have a fraction. */
    private static long retryAfterMillis(HttpResponse<byte[]> response) {
        try {
            double seconds = Double.parseDouble(
                    response.headers().firstValue("Retry-After").orElse(""));
            return seconds >= 0 ? Math.round(Math.min(seconds, 3_600) * MILLIS_PER_SECOND) : DEFAULT_RETRY_AFTER_MILLIS;
        } catch (NumberFormatException e) {
            return DEFAULT_RETRY_AFTER_MILLIS;
        }
    }

    private static <T> Either<PlatformFailure, T> noAnswer(String path, Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        String detail = cause.getMessage() == null ? "" : ": " + cause.getMessage();
        return Either.left(new PlatformFailure.NoAnswer(path, cause.getClass().getSimpleName() + detail));
    }

    private static String encode(String path) {
        return URLEncoder.encode(path, StandardCharsets.UTF_8)
                .replace("%2F", "/")
                .replace("+", "%20");
    }

    /** Reads the body of a success. */
    private interface BodyReader<T> {
        T read(byte[] body) throws IOException;
    }
}
