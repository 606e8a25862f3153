package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The servers of one service: a primary and replicas with a replicated log. */
final class DbGroup {

    private static final long PROMOTE_MILLIS = 300;
    private static final long HANDSHAKE_MILLIS = 12;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int QUEUE = 16;
    private static final AtomicLong SIGNATURES = new AtomicLong(0x90e1c4d2L);

    /** One committed transaction: the ids of its writes. */
    record Entry(long term, long number, List<String> writes) {}

    /** A statement that a server ran, with the time of its arrival. */
    record Run(long millis, String server, String tenant, String id, String text) {}

    final String name;
    final Map<String, Server> servers = new ConcurrentHashMap<>();
    final List<Run> runs = new ArrayList<>();
    private final Record record;
    private final Store store;
    private final int syncReplicas;
    private final int slots;
    private final int maxConnections;
    private long term = 3;

    /** Time that a server works on a read, a write or a commit, milliseconds. */
    volatile long workMillis;

    DbGroup(Record record, Store store, String name, int syncReplicas, int slots, int maxConnections, long workMillis) {
        this.record = record;
        this.store = store;
        this.name = name;
        this.syncReplicas = syncReplicas;
        this.slots = slots;
        this.maxConnections = maxConnections;
        this.workMillis = workMillis;
    }

    synchronized Server addServer(String id, String zone, boolean primary) throws IOException {
        return start(new Server(id, zone, primary, 0));
    }

    /** Starts a new server at the address of one that has left, with its log. */
    synchronized Server addSuccessor(String id, Server left) throws IOException {
        Server server = new Server(id, left.zone, false, left.socket.getLocalPort());
        server.log.addAll(left.log);
        server.term = left.term;
        record.note("server %s starts at the address of %s with its %d log entries", id, left.id, left.log.size());
        return start(server);
    }

    private Server start(Server server) {
        String id = server.id;
        servers.put(id, server);
        server.publish();
        server.listen();
        return server;
    }

    synchronized Server primary() {
        return servers.values().stream().filter(one -> one.primary && one.up).findFirst().orElse(null);
    }

    /** Takes over on behalf of the platform; returns whether the server is running. */
    synchronized boolean promote(String id) {
        Server next = servers.get(id);
        if (next == null || !next.up) {
            return false;
        }
        if (!next.primary) {
            Threads.start(() -> {
                Threads.sleep(PROMOTE_MILLIS);
                completePromotion(next);
            });
        }
        return true;
    }

    private synchronized void completePromotion(Server next) {
        if (!next.up || next.primary) {
            return;
        }
        term++;
        for (Server other : servers.values()) {
            if (other.primary) {
                other.primary = false;
                if (other.up) {
                    other.publish();
                }
            }
        }
        next.primary = true;
        next.term = term;
        next.promotedLog = List.copyOf(next.log);
        for (Server other : servers.values()) {
            if (other != next && other.up && !other.deaf) {
                other.copyLog(next);
            }
        }
        record.note("server %s of %s leads term %d with %d log entries", next.id, name, term, next.log.size());
        next.publish();
        notifyAll();
    }

    /** Appends a commit at the primary; returns whether enough replicas have received it in time. */
    private synchronized boolean append(Server primary, List<String> writes) throws InterruptedException {
        Entry entry = new Entry(term, primary.log.size() + 1L, List.copyOf(writes));
        primary.log.add(entry);
        replicate(primary);
        long until = System.nanoTime() + 5_000_000_000L;
        while (receivers(primary, entry) < syncReplicas) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0 || !primary.up || !primary.primary) {
                return false;
            }
            wait(left);
        }
        return primary.up && primary.primary;
    }

    private int receivers(Server primary, Entry entry) {
        return (int) servers.values().stream()
                .filter(other -> other != primary && other.up && other.log.contains(entry))
                .count();
    }

    private synchronized void replicate(Server primary) {
        for (Server other : servers.values()) {
            if (other != primary && other.up && !other.deaf) {
                other.copyLog(primary);
            }
        }
        notifyAll();
    }

    private synchronized void addRun(Run run) {
        runs.add(run);
        record.addAt(run.millis(), "%s runs %s for %s: %s", run.server(), run.id(), run.tenant(), run.text());
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /** One server of the service. */
    final class Server {

        final String id;
        private final String zone;
        private final ServerSocket socket;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final Semaphore slot = new Semaphore(slots, true);
        private final AtomicInteger queued = new AtomicInteger();
        private final long born = System.currentTimeMillis();
        final List<Entry> log = new ArrayList<>();

        /** The log with which this server was promoted last. */
        volatile List<Entry> promotedLog;

        volatile boolean primary;
        volatile boolean up = true;
        volatile boolean draining;
        private volatile boolean deaf;
        private long term = 3;
        private long seq;

        Server(String id, String zone, boolean primary, int port) throws IOException {
            this.socket = new ServerSocket();
            this.socket.setReuseAddress(true);
            this.socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
            this.id = id;
            this.zone = zone;
            this.primary = primary;
        }

        /** Writes this server's entry into the store. */
        void publish() {
            store.put("servers", id, spec(), Store.MAPPER.createObjectNode().put("born", born));
        }

        ObjectNode spec() {
            return Store.MAPPER
                    .createObjectNode()
                    .put("service", name)
                    .put("address", "127.0.0.1:" + socket.getLocalPort())
                    .put("zone", zone)
                    .put("version", "1.0")
                    .put("slots", slots)
                    .put("state", draining ? "draining" : "ready")
                    .put("cold_left_ms", 0)
                    .put("seq_no", ++seq)
                    .put("db_role", primary ? "primary" : "replica");
        }

        void drain() {
            draining = true;
            publish();
            record.note("server %s reports draining", id);
        }

        /** Ends the process after a planned drain; its entry is removed. */
        void leave() {
            stop();
            servers.remove(id);
            store.delete("servers", id);
            record.note("server %s has left", id);
        }

        void crash() {
            record.note("server %s crashes as the %s", id, primary ? "primary" : "replica");
            stop();
            Threads.start(() -> {
                Threads.sleep(3 * HEARTBEAT_MILLIS);
                store.delete("servers", id);
            });
        }

        private void stop() {
            synchronized (DbGroup.this) {
                up = false;
                DbGroup.this.notifyAll();
            }
            try {
                socket.close();
            } catch (IOException e) {
                // Closing is all that matters.
            }
            connections.forEach(DbGroup::closeQuietly);
        }

        /** Starts or ends a time in which this replica receives nothing. */
        void setDeaf(boolean value) {
            record.note("server %s %s", id, value ? "receives nothing" : "receives again");
            synchronized (DbGroup.this) {
                deaf = value;
                Server source = DbGroup.this.primary();
                if (!value && source != null && source != this) {
                    copyLog(source);
                    DbGroup.this.notifyAll();
                }
            }
        }

        private void copyLog(Server source) {
            log.clear();
            log.addAll(source.log);
            term = source.term;
        }

        private String position() {
            synchronized (DbGroup.this) {
                return term + "." + log.size();
            }
        }

        void listen() {
            Threads.start(() -> {
                while (up) {
                    try {
                        Socket accepted = socket.accept();
                        accepted.setTcpNoDelay(true);
                        connections.add(accepted);
                        Threads.start(() -> serve(accepted));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket accepted) {
            try (accepted) {
                new Session(accepted).run();
            } catch (IOException | InterruptedException e) {
                // The connection has ended; an open transaction is rolled back with it.
            } finally {
                connections.remove(accepted);
            }
        }

        /** One connection from the system. */
        private final class Session {

            private final BufferedReader in;
            private final OutputStream out;
            private final Map<String, String> prepared = new HashMap<>();
            private final List<String> writes = new ArrayList<>();
            private String tenant = "";
            private boolean open;
            private boolean plain;
            private boolean failed;

            Session(Socket accepted) throws IOException {
                in = new BufferedReader(new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
                out = accepted.getOutputStream();
            }

            void run() throws IOException, InterruptedException {
                String first = in.readLine();
                if (first == null) {
                    return;
                }
                String[] start = first.split(" ");
                if (!start[0].equals("START") || !start[1].equals(name) || (start.length > 3 && !start[3].equals(id))) {
                    send("ERR MISROUTED " + id + "\r\n");
                    return;
                }
                if (connections.size() > maxConnections) {
                    send("ERR TOOMANY " + id + "\r\n");
                    return;
                }
                tenant = start[2];
                Thread.sleep(HANDSHAKE_MILLIS);
                send("READY I " + position() + "\r\n");
                for (String line = in.readLine(); line != null && up; line = in.readLine()) {
                    String[] fields = line.split(" ", 3);
                    if (fields[0].equals("BYE")) {
                        return;
                    }
                    send(answer(fields[1], fields[2], record.millis()));
                }
            }

            private void send(String lines) throws IOException {
                out.write(lines.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }

            private String answer(String queryId, String query, long arrived) throws InterruptedException {
                String text = query;
                if (text.startsWith("WAITLSN ")) {
                    String[] parts = text.split(" ", 3);
                    text = parts[2];
                    String[] wanted = parts[1].split("\\.");
                    synchronized (DbGroup.this) {
                        if (Long.parseLong(wanted[0]) > term || Long.parseLong(wanted[1]) > log.size()) {
                            return failure("LAGGING");
                        }
                    }
                }
                String verb = text.split(" ", 2)[0];
                if (failed && !verb.equals("ROLLBACK") && !verb.equals("COMMIT")) {
                    return failure("MALFORMED");
                }
                switch (verb) {
                    case "BEGIN":
                        plain = text.equals("BEGIN");
                        if (plain && !primary) {
                            return failure("READONLY");
                        }
                        open = true;
                        return done("-", List.of());
                    case "ROLLBACK":
                        end();
                        return done("-", List.of());
                    case "SET", "RESET", "CLOSE":
                        if (verb.equals("RESET")) {
                            prepared.clear();
                        }
                        return done("-", List.of());
                    case "PREPARE":
                        String[] parts = text.split(" ", 4);
                        prepared.put(parts[1], parts[2] + " " + parts[3]);
                        return done("-", List.of());
                    case "STATUS", "STEPDOWN":
                        if (verb.equals("STEPDOWN")) {
                            stepDown(Long.parseLong(text.split(" ")[1]));
                        }
                        return done("-", List.of(status()));
                    default:
                        return work(queryId, verb, text, arrived);
                }
            }

            private void stepDown(long above) {
                synchronized (DbGroup.this) {
                    if (primary && term < above) {
                        primary = false;
                        record.note("server %s steps down", id);
                        publish();
                    }
                }
            }

            private String status() {
                return (primary ? "primary " : "replica ") + term + " " + position() + " 0 0 0 " + connections.size();
            }

            private String work(String queryId, String verb, String text, long arrived) throws InterruptedException {
                String shape = null;
                if (verb.equals("EXEC")) {
                    shape = prepared.get(text.split(" ")[1]);
                    if (shape == null) {
                        return failure("NOSTMT");
                    }
                }
                boolean write = verb.equals("WRITE") || (shape != null && shape.startsWith("WRITE"));
                if (open && plain && !primary && !(verb.equals("COMMIT") && writes.isEmpty())) {
                    return failure("READONLY");
                }
                if (write && !primary) {
                    return failure("READONLY");
                }
                if (queued.incrementAndGet() > QUEUE + slots) {
                    queued.decrementAndGet();
                    return failure("BUSY");
                }
                try {
                    if (!slot.tryAcquire(10, TimeUnit.SECONDS)) {
                        return failure("BUSY");
                    }
                    try {
                        return run(queryId, verb, text, shape, write, arrived);
                    } finally {
                        slot.release();
                    }
                } finally {
                    queued.decrementAndGet();
                }
            }

            private String run(String queryId, String verb, String text, String shape, boolean write, long arrived)
                    throws InterruptedException {
                addRun(new Run(arrived, id, tenant, queryId, shape == null ? text : text + " [" + shape + "]"));
                Thread.sleep(workMillis);
                if (verb.equals("COMMIT")) {
                    if (!open || failed) {
                        end();
                        return failure("MALFORMED");
                    }
                    List<String> committed = List.copyOf(writes);
                    end();
                    if (!committed.isEmpty() && !append(Server.this, committed)) {
                        return failure("TIMEOUT");
                    }
                    return done(sign(), List.of());
                }
                if (write && open) {
                    writes.add(queryId);
                    return done(sign(), List.of());
                }
                if (write) {
                    return append(Server.this, List.of(queryId)) ? done(sign(), List.of()) : failure("TIMEOUT");
                }
                return done(sign(), List.of("v" + (shape == null ? "" : " " + shape)));
            }

            private void end() {
                open = false;
                failed = false;
                writes.clear();
            }

            private String sign() {
                return term + "." + Long.toHexString(SIGNATURES.incrementAndGet());
            }

            private String done(String signature, List<String> rows) {
                StringBuilder lines = new StringBuilder();
                rows.forEach(row -> lines.append("ROW ").append(row).append("\r\n"));
                return lines.append("DONE ").append(signature).append("\r\n").append(ready()).toString();
            }

            private String failure(String code) {
                failed |= open;
                return "ERR " + code + " " + id + "\r\n" + ready();
            }

            private String ready() {
                return "READY " + (failed ? "E" : open ? "T" : "I") + " " + position() + "\r\n";
            }
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closing is all that matters.
        }
    }
}
