import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stand-in for one service with synchronous replication: a commit is acknowledged once one replica has received it. The
 * clients of each machine are of a tenant of their own, named like the machine, so that single paths can be cut. A
 * connection without a tenant, which a machine opens to ask a server that it does not reach, is cut with any of them.
 */
final class SyncGroup {

    /** Delay of replication, milliseconds. */
    private static final long RECEIVE_MILLIS = 2;

    /** A commit in the log. */
    record Commit(long term, long number, String id) {}

    private final Store store;
    private final String name;
    private final int maxConnections;
    private final long promoteMillis;
    private final Consumer<String> notes;
    private final Map<String, Server> servers = new TreeMap<>();
    private final Set<String> cut = new HashSet<>();
    private long term = 3;
    private long highestToken = -1;
    private int orders;
    private Server primary;
    private Consumer<List<Commit>> onPromoted = log -> {};

    SyncGroup(
            Store store,
            String name,
            int maxConnections,
            long promoteMillis,
            Consumer<String> notes) {
        this.store = store;
        this.name = name;
        this.maxConnections = maxConnections;
        this.promoteMillis = promoteMillis;
        this.notes = notes;
        store.onPromotion(this::promote);
        Env.daemon(this::replicate);
    }

    /** Sets what receives the log of each server that is promoted, at the moment at which it leads. */
    synchronized void onPromoted(Consumer<List<Commit>> listener) {
        onPromoted = listener;
    }

    /** Starts a server; the first one is the primary. A later one copies the log of the primary as it starts. */
    void start(String id, String zone) throws IOException {
        Server server = new Server(id, zone);
        synchronized (this) {
            servers.put(id, server);
            if (primary == null) {
                primary = server;
                server.log.add(new Commit(term, 1_000, "start"));
            } else {
                server.log.addAll(primary.log);
            }
        }
        server.acceptAll();
        server.register();
        notes.accept("server started id=" + id);
    }

    /** Cuts or heals the path between two of machines and servers. */
    synchronized void setCut(String one, String other, boolean isCut) {
        if (isCut) {
            cut.add(one + " " + other);
        } else {
            cut.remove(one + " " + other);
        }
        notifyAll();
    }

    /** Returns the number of accepted orders to promote. */
    synchronized int orders() {
        return orders;
    }

    synchronized String primaryId() {
        return primary.id;
    }

    private synchronized boolean isPathCut(String machine, String server) {
        return cut.contains(server + " " + machine)
                || (!machine.startsWith("front") && cut.stream().anyMatch(path -> path.startsWith(server + " front")));
    }

    private synchronized boolean isCut(String one, String other) {
        return cut.contains(one + " " + other) || cut.contains(other + " " + one);
    }

    private synchronized int promote(String service, String id, long token) {
        Server target = servers.get(id);
        notes.accept("promote id=" + id + " token=" + token);
        if (token < highestToken || target == null) {
            return 409;
        }
        highestToken = token;
        orders++;
        if (target != primary) {
            Env.daemon(() -> {
                Env.sleep(promoteMillis);
                takeLead(target);
            });
        }
        return 200;
    }

    private void takeLead(Server target) {
        Server old;
        List<Commit> log;
        synchronized (this) {
            if (primary == target) {
                return;
            }
            old = primary;
            primary = target;
            term++;
            log = List.copyOf(target.log);
            target.log.add(new Commit(term, target.last().number() + 1, "term"));
            for (Server server : servers.values()) {
                server.paused = false;
                if (server != target) {
                    server.log.removeIf(commit -> commit.number() >= target.last().number() && commit.term() < term);
                }
            }
            notifyAll();
        }
        notes.accept("promoted id=" + target.id + " term=" + term + " last_commit=" + log.get(log.size() - 1));
        onPromoted.accept(log);
        old.register();
        target.register();
    }

    /** Brings the replicas up to date with the primary. */
    private void replicate() {
        while (true) {
            Env.sleep(RECEIVE_MILLIS);
            synchronized (this) {
                for (Server server : servers.values()) {
                    if (server != primary && !server.paused && !isCut(server.id, primary.id)) {
                        for (Commit commit : primary.log) {
                            Commit last = server.last();
                            if (commit.number() > last.number()) {
                                server.log.add(commit);
                            }
                        }
                    }
                }
                notifyAll();
            }
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private final class Server {

        private final String id;
        private final String zone;
        private final ServerSocket socket = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        private final List<Commit> log = new ArrayList<>();
        private final long born = System.currentTimeMillis();
        private boolean paused;
        private int connections;
        private long sequence;

        Server(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
        }

        Commit last() {
            return log.get(log.size() - 1);
        }

        String position() {
            return last().term() + "." + last().number();
        }

        void register() {
            Map<String, Object> spec = new LinkedHashMap<>();
            spec.put("service", name);
            spec.put("address", "127.0.0.1:" + socket.getLocalPort());
            spec.put("zone", zone);
            spec.put("version", "v1");
            spec.put("slots", 2L);
            spec.put("state", "ready");
            spec.put("cold_left_ms", 0L);
            spec.put("db_role", id.equals(primaryId()) ? "primary" : "replica");
            spec.put("seq_no", ++sequence);
            store.put("servers", id, spec, born);
        }

        void acceptAll() {
            Env.daemon(() -> {
                while (true) {
                    try {
                        Socket accepted = socket.accept();
                        Env.daemon(() -> serve(accepted));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket accepted) {
            boolean counted = false;
            try (Socket connection = accepted) {
                connection.setTcpNoDelay(true);
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
                OutputStream out = connection.getOutputStream();
                String start = in.readLine();
                if (start == null) {
                    return;
                }
                String[] fields = start.split(" ", 4);
                String machine = fields[2];
                if (!awaitPath(machine)) {
                    return;
                }
                if (!fields[1].equals(name) || (fields.length > 3 && !fields[3].equals(id))) {
                    send(out, "ERR MISROUTED " + id + "\r\n");
                    return;
                }
                synchronized (SyncGroup.this) {
                    counted = connections < maxConnections;
                    connections += counted ? 1 : 0;
                }
                if (!counted) {
                    send(out, "ERR TOOMANY full\r\n");
                    return;
                }
                send(out, "READY I " + positionNow() + "\r\n");
                Conversation conversation = new Conversation(this);
                for (String line = in.readLine(); line != null && line.startsWith("QUERY "); line = in.readLine()) {
                    if (!awaitPath(machine)) {
                        return;
                    }
                    String[] query = line.split(" ", 3);
                    String answer = conversation.execute(query[1], query[2]);
                    if (!awaitPath(machine)) {
                        return;
                    }
                    send(out, answer + "READY " + conversation.state + " " + positionNow() + "\r\n");
                }
            } catch (IOException e) {
                // The far end has closed the connection, which rolls back.
            } finally {
                if (counted) {
                    synchronized (SyncGroup.this) {
                        connections--;
                    }
                }
            }
        }

        private String positionNow() {
            synchronized (SyncGroup.this) {
                return position();
            }
        }

        /** Waits while the path to a machine is cut; a connection whose far end is dark is dropped after 3 s. */
        private boolean awaitPath(String machine) {
            long since = now();
            while (isPathCut(machine, id)) {
                if (now() - since > 3_000) {
                    return false;
                }
                Env.sleep(5);
            }
            return true;
        }

        /** Appends a commit and waits until a replica has received it. */
        private boolean commit(String writeId) {
            synchronized (SyncGroup.this) {
                if (primary != this) {
                    return false;
                }
                Commit commit = new Commit(term, last().number() + 1, writeId);
                log.add(commit);
                while (primary == this) {
                    boolean received = servers.values().stream()
                            .anyMatch(server -> server != this && server.log.contains(commit));
                    if (received) {
                        return true;
                    }
                    try {
                        SyncGroup.this.wait(20);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        return false;
                    }
                }
                return log.contains(commit);
            }
        }
    }

    /** The statements of one connection. */
    private final class Conversation {

        private final Server server;
        private char state = 'I';
        private boolean plain;
        private long startTerm;
        private String wrote = "";

        Conversation(Server server) {
            this.server = server;
        }

        String execute(String id, String text) {
            String rest = text;
            if (rest.startsWith("WAITLSN ")) {
                String[] fields = rest.split(" ", 3);
                rest = fields[2];
                if (!covers(fields[1])) {
                    return error("LAGGING behind");
                }
            }
            String[] words = rest.split(" ", 3);
            if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                return error("MALFORMED failed");
            }
            return switch (words[0]) {
                case "BEGIN" -> begin(rest);
                case "ROLLBACK" -> {
                    state = 'I';
                    yield "DONE -\r\n";
                }
                case "COMMIT" -> {
                    boolean failed = state == 'E';
                    state = 'I';
                    yield failed
                            ? "ERR ABORTED rolled back\r\n"
                            : wrote.isEmpty() || server.commit(wrote) ? done("") : "ERR READONLY " + server.id + "\r\n";
                }
                case "READ" -> lostLead() ? error("READONLY " + server.id) : done("ROW value\r\n");
                case "WRITE" -> write(id);
                case "STATUS" -> control(() -> {});
                case "PAUSE" -> control(() -> {
                    if (server != primary && Long.parseLong(words[1]) > term) {
                        server.paused = true;
                    }
                });
                case "RESUME" -> control(() -> server.paused = false);
                case "STEPDOWN" -> control(() -> {});
                default -> "DONE -\r\n";
            };
        }

        private boolean covers(String position) {
            synchronized (SyncGroup.this) {
                String[] parts = position.split("\\.");
                long wantedTerm = Long.parseLong(parts[0]);
                Commit last = server.last();
                return last.term() > wantedTerm
                        || (last.term() == wantedTerm && last.number() >= Long.parseLong(parts[1]));
            }
        }

        private boolean lostLead() {
            synchronized (SyncGroup.this) {
                return state == 'T' && plain && (server != primary || startTerm != term);
            }
        }

        private String begin(String text) {
            synchronized (SyncGroup.this) {
                plain = text.equals("BEGIN");
                if (plain && server != primary) {
                    return error("READONLY " + server.id);
                }
                startTerm = term;
                state = 'T';
                wrote = "";
                return "DONE -\r\n";
            }
        }

        private String write(String id) {
            synchronized (SyncGroup.this) {
                if (server != primary || lostLead()) {
                    return error("READONLY " + server.id);
                }
            }
            if (state == 'T') {
                wrote = id;
                return done("");
            }
            return server.commit(id) ? done("") : "ERR TIMEOUT the lead was lost\r\n";
        }

        private String control(Runnable change) {
            synchronized (SyncGroup.this) {
                change.run();
                notes.accept("control server=" + server.id + " paused=" + server.paused + " position="
                        + server.position());
                return "ROW " + (server == primary ? "primary" : "replica") + " " + term + " " + server.position()
                        + " 0 0 0 " + server.connections + "\r\nDONE -\r\n";
            }
        }

        private String done(String rows) {
            return rows + "DONE s." + Long.toHexString(System.nanoTime()) + "\r\n";
        }

        private String error(String words) {
            if (state == 'T') {
                state = 'E';
            }
            return "ERR " + words + "\r\n";
        }
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
