package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store: objects by kind and name, one revision counter, watches and stale lists. */
final class Store {

    static final ObjectMapper MAPPER = new ObjectMapper();

    /** Text in a spec that is sent as bytes that are not UTF-8. */
    static final String UNREADABLE = "@@unreadable@@";

    private static final byte[] UNREADABLE_BYTES = {'m', 'a', 'c', 'e', 'i', (byte) 0xF3, (byte) 0xFF};
    private static final long ANSWER_MILLIS = 4;

    private final Record record;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(Threads::daemon);
    private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
    private final Map<String, TreeMap<Long, Map<String, ObjectNode>>> snapshots = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 1_000;

    /** Age of what a list with allow_stale shows, milliseconds. */
    volatile long staleMillis;

    /** Greatest number of items of one answer. */
    volatile int pageItems = 500;

    private record Event(long revision, String kind, ObjectNode object, boolean removed) {}

    private record Answer(int status, JsonNode body) {}

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.createContext("/", this::serve);
        server.setExecutor(threads);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object on behalf of the operator or a server; {@code top} holds fields at its top level. */
    synchronized long put(String kind, String name, JsonNode spec, JsonNode top) {
        ObjectNode old = kind(kind).get(name);
        revision++;
        long created = old == null ? revision : old.at("/meta/created_rev").asLong();
        ObjectNode object = object(name, revision, created, spec);
        if (top != null) {
            object.setAll((ObjectNode) top);
        }
        kind(kind).put(name, object);
        changed(kind, object, false);
        return revision;
    }

    synchronized void delete(String kind, String name) {
        ObjectNode old = kind(kind).remove(name);
        if (old != null) {
            revision++;
            ObjectNode last = old.deepCopy();
            ((ObjectNode) last.path("meta")).put("revision", revision);
            changed(kind, last, true);
        }
    }

    private TreeMap<String, ObjectNode> kind(String kind) {
        return objects.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private static ObjectNode object(String name, long revision, long created, JsonNode spec) {
        ObjectNode object = MAPPER.createObjectNode();
        ObjectNode meta = object.putObject("meta");
        meta.put("name", name).put("revision", revision).put("created_rev", created).put("deleting", false);
        meta.putArray("finalizers");
        object.set("spec", spec);
        return object;
    }

    private void changed(String kind, ObjectNode object, boolean removed) {
        events.add(new Event(revision, kind, object, removed));
        snapshots.computeIfAbsent(kind, key -> new TreeMap<>()).put(System.nanoTime(), new TreeMap<>(kind(kind)));
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try {
            String path = exchange.getRequestURI().getPath();
            byte[] content = exchange.getRequestBody().readAllBytes();
            Thread.sleep(ANSWER_MILLIS);
            JsonNode body = content.length == 0 ? MAPPER.nullNode() : MAPPER.readTree(content);
            Answer answer = path.startsWith("/api/objects/")
                    ? answer(exchange.getRequestMethod(), path.substring(13).split("/"), query(exchange), body)
                    : new Answer(404, MAPPER.createObjectNode());
            byte[] bytes = encode(answer.body());
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new LinkedHashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                result.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
            }
        }
        return result;
    }

    private Answer answer(String method, String[] path, Map<String, String> query, JsonNode body)
            throws InterruptedException {
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        synchronized (this) {
            if (method.equals("GET")) {
                return path.length > 1 ? read(path[0], path[1]) : list(path[0], query);
            }
            return write(method, path[0], body);
        }
    }

    private synchronized Answer watch(String kind, long after, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            ArrayNode found = MAPPER.createArrayNode();
            for (Event event : events) {
                if (event.revision() > after && event.kind().equals(kind)) {
                    ObjectNode one = found.addObject();
                    one.set("object", event.object());
                    one.put("removed", event.removed());
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                ObjectNode answer = MAPPER.createObjectNode().put("current_rev", revision);
                answer.set("events", found);
                return new Answer(200, answer);
            }
            wait(left);
        }
    }

    private Answer read(String kind, String name) {
        ObjectNode object = kind(kind).get(name);
        return object == null ? new Answer(404, MAPPER.createObjectNode()) : new Answer(200, object.deepCopy());
    }

    private Answer list(String kind, Map<String, String> query) {
        Map<String, ObjectNode> all = kind(kind);
        boolean stale = "1".equals(query.get("allow_stale"));
        if (stale && staleMillis > 0) {
            var earlier = snapshots
                    .getOrDefault(kind, new TreeMap<>())
                    .floorEntry(System.nanoTime() - staleMillis * 1_000_000);
            all = earlier == null ? Map.of() : earlier.getValue();
        }
        if (kind.equals("hyssopswitch-vms")) {
            record.add("store: list of VMs read, stale=%s, shows %s", stale, all.keySet());
        }
        ArrayNode items = MAPPER.createArrayNode();
        boolean more = false;
        for (Map.Entry<String, ObjectNode> one : new TreeMap<>(all).entrySet()) {
            if (one.getKey().compareTo(query.getOrDefault("after", "")) > 0) {
                if (items.size() == pageItems) {
                    more = true;
                    break;
                }
                items.add(one.getValue().deepCopy());
            }
        }
        ObjectNode answer = MAPPER.createObjectNode().put("has_more", more).put("current_rev", revision);
        answer.set("items", items);
        return new Answer(200, answer);
    }

    private Answer write(String method, String kind, JsonNode body) {
        String name = body.at("/meta/name").asText();
        ObjectNode old = kind(kind).get(name);
        boolean create = method.equals("POST");
        JsonNode expected = body.at("/meta/revision");
        if (create && old != null) {
            return new Answer(409, old);
        }
        if (!create && old == null) {
            return new Answer(404, MAPPER.createObjectNode());
        }
        if (!create && expected.isNumber() && expected.asLong() != old.at("/meta/revision").asLong()) {
            return new Answer(409, old);
        }
        put(kind, name, body.path("spec"), null);
        record.add("store: %s %s/%s at revision %d", method, kind, name, revision);
        return new Answer(create ? 201 : 200, kind(kind).get(name).deepCopy());
    }

    private static byte[] encode(JsonNode body) {
        String text = body.toString();
        ByteArrayOutputStream out = new ByteArrayOutputStream(text.length());
        int from = 0;
        for (int at = text.indexOf(UNREADABLE); at >= 0; at = text.indexOf(UNREADABLE, from)) {
            out.writeBytes(text.substring(from, at).getBytes(StandardCharsets.UTF_8));
            out.writeBytes(UNREADABLE_BYTES);
            from = at + UNREADABLE.length();
        }
        out.writeBytes(text.substring(from).getBytes(StandardCharsets.UTF_8));
        return out.toByteArray();
    }
}
