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
import java.util.function.Predicate;

/**
 * Stand-in for the platform's store and for its promotion call. Each listener has an address of its own, so that one
 * machine can be turned away while the others are served.
 */
final class Store {

    /** Time that an answer takes, milliseconds. */
    private static final long ANSWER_MILLIS = 4;

    private static final int PAGE = 500;

    /** How a machine is turned away. */
    enum Fault {
        NONE,
        BUSY,
        SILENT
    }

    /** What the store holds of one object. */
    private record Entry(String name, long revision, long created, Object spec, Object born, Object status) {}

    private record Change(long revision, String kind, Entry entry, boolean removed, long atMillis) {}

    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Fault> faults = new HashMap<>();
    private final long staleMillis;
    private long revision = 100;
    private Promotions promotions = (service, id, token) -> 409;

    Store(long staleMillis) {
        this.staleMillis = staleMillis;
    }

    /** Carries out promotions. */
    interface Promotions {
        int promote(String service, String id, long token);
    }

    synchronized void onPromotion(Promotions handler) {
        promotions = handler;
    }

    /** Opens a listener for one machine and returns its address. */
    String listen(String machine, String host) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> handle(machine, exchange));
        server.start();
        return host + ":" + server.getAddress().getPort();
    }

    synchronized void setFault(String machine, Fault fault) {
        faults.put(machine, fault);
        notifyAll();
    }

    synchronized long put(String kind, String name, Object spec, Object born) {
        Entry old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        revision++;
        Entry entry = new Entry(name, revision, old == null ? revision : old.created(), spec, born, null);
        kinds.get(kind).put(name, entry);
        history.add(new Change(revision, kind, entry, false, now()));
        notifyAll();
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Entry old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
        if (old != null) {
            revision++;
            Entry gone = new Entry(name, revision, old.created(), old.spec(), old.born(), old.status());
            history.add(new Change(revision, kind, gone, true, now()));
            notifyAll();
        }
    }

    /** Returns all that was ever written to the objects of a kind. */
    synchronized List<Object> written(String kind) {
        return history.stream()
                .filter(change -> change.kind().equals(kind))
                .map(change -> change.entry().spec())
                .toList();
    }

    private synchronized Fault fault(String machine) {
        return faults.getOrDefault(machine, Fault.NONE);
    }

    private void handle(String machine, HttpExchange exchange) throws IOException {
        try {
            Fault fault = fault(machine);
            if (fault == Fault.SILENT) {
                waitWhile(machine, f -> f == Fault.SILENT);
                exchange.close();
                return;
            }
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (fault == Fault.BUSY) {
                answer(exchange, 503, Map.of());
                return;
            }
            pause(ANSWER_MILLIS);
            if (exchange.getRequestURI().getPath().equals("/promote")) {
                Map<String, Object> order = Json.object(Json.parse(body));
                long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
                answer(
                        exchange,
                        promotions.promote((String) order.get("service"), (String) order.get("id"), token),
                        Map.of());
                return;
            }
            String[] path = exchange.getRequestURI().getPath().split("/");
            String kind = path[3];
            String name = path.length > 4 ? URLDecoder.decode(path[4], StandardCharsets.UTF_8) : "";
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestMethod()) {
                case "GET" -> {
                    if (!name.isEmpty()) {
                        read(exchange, kind, name);
                    } else if (query.containsKey("watch")) {
                        watch(machine, exchange, kind, query);
                    } else {
                        list(exchange, kind, query);
                    }
                }
                case "POST", "PUT" -> write(exchange, kind, name, Json.object(Json.parse(body)));
                default -> answer(exchange, 405, Map.of());
            }
        } catch (RuntimeException e) {
            answer(exchange, 400, Map.of("error", e.toString()));
        }
    }

    private void read(HttpExchange exchange, String kind, String name) throws IOException {
        Entry entry;
        synchronized (this) {
            entry = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        }
        answer(exchange, entry == null ? 404 : 200, entry == null ? Map.of() : document(entry));
    }

    private void list(HttpExchange exchange, String kind, Map<String, String> query) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            TreeMap<String, Entry> entries = new TreeMap<>(kinds.getOrDefault(kind, new TreeMap<>()));
            long shown = revision;
            if (query.containsKey("allow_stale")) {
                shown = 100;
                entries.clear();
                for (Change change : history) {
                    if (change.atMillis() <= now() - staleMillis) {
                        shown = change.revision();
                        if (change.kind().equals(kind)) {
                            entries.remove(change.entry().name());
                            if (!change.removed()) {
                                entries.put(change.entry().name(), change.entry());
                            }
                        }
                    }
                }
            }
            List<Object> items = new ArrayList<>();
            boolean more = false;
            for (Entry entry : entries.tailMap(query.getOrDefault("after", ""), false).values()) {
                if (items.size() == PAGE) {
                    more = true;
                    break;
                }
                items.add(document(entry));
            }
            answer.put("items", items);
            answer.put("has_more", more);
            answer.put("current_rev", shown);
        }
        answer(exchange, 200, answer);
    }

    private void watch(String machine, HttpExchange exchange, String kind, Map<String, String> query)
            throws IOException {
        long from = Long.parseLong(query.get("watch"));
        long until = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> events = new ArrayList<>();
            while (true) {
                for (Change change : history) {
                    if (change.revision() > from && change.kind().equals(kind)) {
                        events.add(Map.of("removed", change.removed(), "object", document(change.entry())));
                    }
                }
                if (!events.isEmpty() || now() >= until || fault(machine) != Fault.NONE) {
                    break;
                }
                try {
                    wait(Math.max(1, until - now()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            answer.put("events", events);
            answer.put("current_rev", revision);
        }
        if (fault(machine) != Fault.NONE) {
            exchange.close();
            return;
        }
        answer(exchange, 200, answer);
    }

    private void write(HttpExchange exchange, String kind, String pathName, Map<String, Object> object)
            throws IOException {
        Map<String, Object> meta = Json.object(object.get("meta"));
        String name = pathName.isEmpty() ? (String) meta.get("name") : pathName;
        int status = 200;
        Object answer;
        synchronized (this) {
            Entry old = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            Long expected = (Long) meta.get("revision");
            if (pathName.isEmpty() ? old != null : old != null && expected != null && expected != old.revision()) {
                status = 409;
            } else if (!pathName.isEmpty() && old == null) {
                status = 404;
            } else {
                put(kind, name, object.get("spec"), null);
                old = kinds.get(kind).get(name);
            }
            answer = old == null ? Map.of() : document(old);
        }
        answer(exchange, status, answer);
    }

    private static Map<String, Object> document(Entry entry) {
        Map<String, Object> meta = new LinkedHashMap<>();
        meta.put("name", entry.name());
        meta.put("revision", entry.revision());
        meta.put("created_rev", entry.created());
        meta.put("finalizers", List.of());
        meta.put("deleting", false);
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("meta", meta);
        document.put("spec", entry.spec());
        document.put("status", entry.status());
        if (entry.born() != null) {
            document.put("born", entry.born());
        }
        return document;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
            }
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized void waitWhile(String machine, Predicate<Fault> condition) {
        while (condition.test(fault(machine))) {
            try {
                wait(100);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
