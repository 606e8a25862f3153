import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** The platform's store: objects by kind and name, with revisions, pages and watches. It keeps the whole history. */
final class Store {

    /** Time of an answer, milliseconds, as on the users' sheets. */
    private static final long ANSWER_MILLIS = 4;

    private final HttpServer http;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<String, TreeMap<Long, TreeMap<String, Map<String, Object>>>> snapshots = new HashMap<>();
    private long revision = 100;
    private int pageSize = 500;
    private volatile Consumer<String> pageServed = kind -> {};
    private volatile long staleMillis;

    Store(String host) throws IOException {
        http = HttpServer.create(new InetSocketAddress(host, 0), 200);
        http.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        http.createContext("/api/objects/", this::handle);
        http.start();
    }

    String address() {
        return http.getAddress().getHostString() + ":" + http.getAddress().getPort();
    }

    /** Gives calls that allow stale data what the store held this long ago. */
    void setStaleMillis(long millis) {
        staleMillis = millis;
    }

    /** Has {@code listener} called with the kind after each page that another one follows, before that one is asked for. */
    void onPage(Consumer<String> listener) {
        pageServed = listener;
    }

    /** Creates or replaces the spec of an object, as the operator and the servers do; returns the revision. */
    synchronized long put(String kind, String name, Map<String, Object> spec, Map<String, Object> top) {
        Map<String, Object> old = kind(kind).get(name);
        Map<String, Object> next = new LinkedHashMap<>(top);
        next.put("spec", spec);
        next.put("status", null);
        if (old != null && sameWithoutSequence(old, next)) {
            return revision;
        }
        return store(kind, name, next, old);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = kind(kind).remove(name);
        if (old != null) {
            revision++;
            history.add(new Event(revision, kind, true, old));
            notifyAll();
        }
    }

    private static boolean sameWithoutSequence(Map<String, Object> old, Map<String, Object> next) {
        Map<String, Object> one = new HashMap<>(Json.object(old.get("spec")));
        Map<String, Object> other = new HashMap<>(Json.object(next.get("spec")));
        one.remove("seq_no");
        other.remove("seq_no");
        return one.equals(other) && java.util.Objects.equals(old.get("born"), next.get("born"));
    }

    private long store(String kind, String name, Map<String, Object> next, Map<String, Object> old) {
        revision++;
        long created = old == null ? revision : (Long) Json.object(old.get("meta")).get("created_rev");
        next.put(
                "meta",
                Json.map(
                        "name", name, "revision", revision, "created_rev", created, "finalizers", List.of(), "deleting", false));
        kind(kind).put(name, next);
        history.add(new Event(revision, kind, false, next));
        if (!kind.equals("servers")) {
            snapshots.computeIfAbsent(kind, key -> new TreeMap<>()).put(Record.now(), new TreeMap<>(kind(kind)));
        }
        notifyAll();
        return revision;
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String[] path = exchange.getRequestURI().getRawPath().split("/");
            String kind = decode(path[3]);
            String name = path.length > 4 ? decode(path[4]) : null;
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            byte[] body = exchange.getRequestBody().readAllBytes();
            Thread.sleep(ANSWER_MILLIS);
            switch (exchange.getRequestMethod()) {
                case "GET" -> {
                    if (name != null) {
                        one(exchange, kind, name);
                    } else if (query.containsKey("watch")) {
                        watch(exchange, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
                    } else {
                        list(exchange, kind, query.getOrDefault("after", ""), query.containsKey("allow_stale"));
                    }
                }
                case "POST", "PUT" -> write(exchange, kind, name, body);
                default -> answer(exchange, 405, Json.map());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            e.printStackTrace();
            answer(exchange, 500, Json.map("error", String.valueOf(e)));
        }
    }

    private void one(HttpExchange exchange, String kind, String name) throws IOException {
        Map<String, Object> found;
        synchronized (this) {
            found = kind(kind).get(name);
        }
        answer(exchange, found == null ? 404 : 200, found == null ? Json.map("error", "no such object") : found);
    }

    private TreeMap<String, Map<String, Object>> stale(String kind) {
        if (staleMillis == 0) {
            return kind(kind);
        }
        var ofKind = snapshots.getOrDefault(kind, new TreeMap<>());
        var entry = ofKind.floorEntry(Record.now() - staleMillis);
        return entry == null ? new TreeMap<>() : entry.getValue();
    }

    private void list(HttpExchange exchange, String kind, String after, boolean stale) throws IOException {
        Map<String, Object> page;
        boolean more;
        synchronized (this) {
            List<Object> items = new ArrayList<>();
            TreeMap<String, Map<String, Object>> all = stale ? stale(kind) : kind(kind);
            Map<String, Map<String, Object>> rest = after.isEmpty() ? all : all.tailMap(after, false);
            for (Map<String, Object> object : rest.values()) {
                if (items.size() < pageSize) {
                    items.add(object);
                }
            }
            more = items.size() < rest.size();
            page = Json.map("items", items, "has_more", more, "current_rev", revision);
        }
        answer(exchange, 200, page);
        if (more) {
            pageServed.accept(kind);
        }
    }

    private void watch(HttpExchange exchange, String kind, long since, long waitMillis)
            throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + waitMillis;
        Map<String, Object> changes;
        synchronized (this) {
            List<Object> events = eventsSince(kind, since);
            for (long left = waitMillis; events.isEmpty() && left > 0; left = until - System.currentTimeMillis()) {
                wait(left);
                events = eventsSince(kind, since);
            }
            changes = Json.map("events", events, "current_rev", revision);
        }
        answer(exchange, 200, changes);
    }

    private List<Object> eventsSince(String kind, long since) {
        List<Object> events = new ArrayList<>();
        for (Event event : history) {
            if (event.revision > since && event.kind.equals(kind)) {
                events.add(Json.map("removed", event.removed, "object", event.object));
            }
        }
        return events;
    }

    private void write(HttpExchange exchange, String kind, String name, byte[] body) throws IOException {
        Map<String, Object> given = Json.object(Json.parse(new String(body, StandardCharsets.UTF_8)));
        Map<String, Object> meta = Json.object(given.get("meta"));
        String target = name == null ? (String) meta.get("name") : name;
        int status;
        Map<String, Object> result;
        synchronized (this) {
            Map<String, Object> old = kind(kind).get(target);
            Object expected = meta.get("revision");
            boolean creates = name == null;
            if (creates ? old != null : old != null && expected != null && !expected.equals(revisionOf(old))) {
                status = 409;
                result = old;
            } else if (!creates && old == null) {
                status = 404;
                result = Json.map("error", "no such object");
            } else {
                status = creates ? 201 : 200;
                Map<String, Object> next = new LinkedHashMap<>();
                next.put("spec", given.get("spec"));
                next.put("status", null);
                store(kind, target, next, old);
                result = kind(kind).get(target);
            }
        }
        answer(exchange, status, result);
    }

    private static Object revisionOf(Map<String, Object> object) {
        return Json.object(object.get("meta")).get("revision");
    }

    private static void answer(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length > 1 ? decode(pair[1]) : "");
            }
        }
        return query;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    private record Event(long revision, String kind, boolean removed, Map<String, Object> object) {}
}
