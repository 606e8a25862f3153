package org.hyssopswitch.standin.platform;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;

/** Serves the object API and the list of VMs. */
final class PlatformHandler extends HttpHandler {

    private static final String OBJECTS = "/objects/";
    private static final String VMS = "/vms";
    private static final String BEARER = "Bearer ";
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final long MAX_WAIT_MILLIS = 300_000;
    private static final Pattern PATH =
            Pattern.compile("([A-Za-z0-9_][A-Za-z0-9._-]*/)*([A-Za-z0-9_][A-Za-z0-9._-]*)?");
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Object lock = new Object();
    private final List<PlatformCredential> credentials;
    private final PlatformFaults faults;
    private final ScheduledExecutorService timer;
    private final ObjectStore store = new ObjectStore();
    private final VmRegistry registry;
    private final WatchTable watches;
    private final CallBudget budget = new CallBudget();
    private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);
    private long throttled;

    PlatformHandler(PlatformSettings settings, PlatformFaults faults, ScheduledExecutorService timer) {
        this.credentials = settings.credentials();
        this.faults = faults;
        this.timer = timer;
        this.registry = new VmRegistry(settings.listLagMillis());
        this.watches = new WatchTable(timer, lock);
    }

    @Override
    public void service(Request request, Response response) throws IOException {
        Optional<PlatformCredential> credential = credential(request);
        String client = credential.map(PlatformCredential::name).orElse("");
        Exchange exchange = new Exchange(request, response, client, faults, timer);
        byte[] body = body(request);
        if (exchange.unreachable()) {
            return;
        }
        synchronized (lock) {
            serve(request, credential, body, exchange);
        }
    }

    /** Runs a task while no call is served. */
    <T> T locked(Function<PlatformHandler, T> task) {
        synchronized (lock) {
            return task.apply(this);
        }
    }

    PlatformStatistics statistics() {
        return new PlatformStatistics(counts, throttled, watches.size());
    }

    VmRegistry registry() {
        return registry;
    }

    ObjectStore store() {
        return store;
    }

    void changed(String path) {
        watches.changed(path);
    }

    void dropWatches() {
        watches.drop();
    }

    private void serve(Request request, Optional<PlatformCredential> credential, byte[] body, Exchange exchange) {
        counts.merge(kind(request), 1L, Long::sum);
        if (faults.outage() == PlatformFaults.Outage.REFUSING) {
            exchange.answer(Answer.error(Answer.UNAVAILABLE, "the platform is down"));
            return;
        }
        if (credential.isEmpty()) {
            exchange.answer(Answer.error(Answer.UNAUTHORIZED, "the credential is not known"));
            return;
        }
        double retryAfterSeconds = budget.take(faults.callsPerSecond(), System.nanoTime());
        if (retryAfterSeconds > 0) {
            throttled++;
            exchange.answer(Answer.throttled(retryAfterSeconds));
            return;
        }
        dispatch(request, credential.get(), body, exchange);
    }

    private void dispatch(Request request, PlatformCredential credential, byte[] body, Exchange exchange) {
        String uri = URLDecoder.decode(request.getRequestURI(), StandardCharsets.UTF_8);
        String path = uri.startsWith(OBJECTS) ? uri.substring(OBJECTS.length()) : "";
        switch (kind(request)) {
            case READ, WATCH -> object(request, path, exchange);
            case PREFIX -> prefix(request, path, exchange);
            case UPDATE -> update(request, credential, path, body, exchange);
            case LIST -> exchange.answer(Answer.of(Answer.OK, StandinJson.lists(registry.lists(nowMillis()))));
            case REGISTER -> register(credential, uri, body, exchange);
            default -> exchange.answer(Answer.error(Answer.NOT_FOUND, "no such resource"));
        }
    }

    private void object(Request request, String path, Exchange exchange) {
        long after = number(request, "after").orElse(-1L);
        Supplier<Answer> current = () -> Answer.of(Answer.OK, store.read(path));
        answerOrWatch(request, path, exchange, store.read(path).version() > after, current);
    }

    private void prefix(Request request, String path, Exchange exchange) {
        long after = number(request, "after").orElse(0L);
        PrefixChanges changes = store.changes(path, after);
        Supplier<Answer> current = () -> Answer.of(Answer.OK, store.changes(path, after));
        answerOrWatch(request, path, exchange, !changes.objects().isEmpty(), current);
    }

    private void answerOrWatch(
            Request request, String path, Exchange exchange, boolean changed, Supplier<Answer> current) {
        long waitMillis = Math.min(number(request, "wait").orElse(0L), MAX_WAIT_MILLIS);
        if (!PATH.matcher(path).matches()) {
            exchange.answer(Answer.error(Answer.BAD_REQUEST, "the path is malformed"));
        } else if (changed || waitMillis <= 0) {
            exchange.answer(current.get());
        } else {
            watches.add(path, waitMillis, exchange, current);
        }
    }

    private void update(Request request, PlatformCredential credential, String path, byte[] body, Exchange exchange) {
        Optional<Long> expected = number(request, "expected");
        if (expected.isEmpty()
                || path.isEmpty()
                || path.endsWith("/")
                || !PATH.matcher(path).matches()) {
            exchange.answer(Answer.error(Answer.BAD_REQUEST, "an update needs a path and an expected version"));
        } else if (body.length > MAX_VALUE_BYTES) {
            exchange.answer(Answer.error(Answer.TOO_LARGE, "a value is at most " + MAX_VALUE_BYTES + " bytes"));
        } else if (!credential.mayWrite(path)) {
            exchange.answer(Answer.error(Answer.FORBIDDEN, credential.name() + " may not write " + path));
        } else {
            write(path, expected.get(), body, exchange);
        }
    }

    private void write(String path, long expected, byte[] body, Exchange exchange) {
        Optional<StoredObject> updated = store.update(path, expected, body);
        if (updated.isEmpty()) {
            exchange.answer(Answer.of(Answer.CONFLICT, store.read(path)));
            return;
        }
        if (faults.losesAnswer()) {
            exchange.drop();
        } else {
            exchange.answer(Answer.of(Answer.OK, updated.get()));
        }
        watches.changed(path);
    }

    private void register(PlatformCredential credential, String uri, byte[] body, Exchange exchange) {
        Optional<VmAddress> vm = StandinJson.readAddress(body).toJavaOptional();
        if (!credential.mayRegister()) {
            exchange.answer(Answer.error(Answer.FORBIDDEN, credential.name() + " may not register VMs"));
        } else if (vm.isEmpty() || !uri.equals(VMS + "/" + vm.get().vm())) {
            exchange.answer(Answer.error(Answer.BAD_REQUEST, "the body must describe the VM of the path"));
        } else {
            registry.register(vm.get(), nowMillis());
            exchange.answer(Answer.of(Answer.OK, StandinJson.address(vm.get())));
        }
    }

    /** Reads the announced length only, since a body without one, as with an upgrade request, would block. */
    private static byte[] body(Request request) throws IOException {
        int length = Math.min(request.getContentLength(), MAX_VALUE_BYTES + 1);
        return length <= 0 ? new byte[0] : request.getInputStream().readNBytes(length);
    }

    private Optional<PlatformCredential> credential(Request request) {
        String header = Optional.ofNullable(request.getHeader("Authorization")).orElse("");
        return credentials.stream()
                .filter(c -> header.equals(BEARER + c.token()))
                .findFirst();
    }

    private static CallKind kind(Request request) {
        String method = request.getMethod().getMethodString();
        String uri = request.getRequestURI();
        if (uri.startsWith(OBJECTS) && method.equals("PUT")) {
            return CallKind.UPDATE;
        }
        if (uri.startsWith(OBJECTS) && method.equals("GET")) {
            boolean waits = number(request, "wait").orElse(0L) > 0;
            CallKind single = waits ? CallKind.WATCH : CallKind.READ;
            return uri.endsWith("/") ? CallKind.PREFIX : single;
        }
        if (uri.equals(VMS) && method.equals("GET")) {
            return CallKind.LIST;
        }
        return uri.startsWith(VMS + "/") && method.equals("PUT") ? CallKind.REGISTER : CallKind.OTHER;
    }

    /** A number in the query string; empty when it is missing or not a number. */
    private static Optional<Long> number(Request request, String name) {
        try {
            return Optional.ofNullable(request.getParameter(name)).map(Long::parseLong);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
