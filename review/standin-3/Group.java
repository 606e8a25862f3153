import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for one service: a primary and its replicas, which apply commits after a delay. Each server registers itself
 * in the store.
 */
final class Group {

    /** A statement that a server ran. */
    record Run(long atMillis, String server, String tenant, String id, String text) {}

    private static final AtomicLong SIGNATURES = new AtomicLong();

    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Store store;
    private final String name;
    private final String tag;
    private final int maxConnections;
    private final int slots;
    private final long workMillis;
    private final long lagMillis;
    private final List<Server> servers = new ArrayList<>();
    private final List<long[]> commits = new ArrayList<>();
    private final long term = 3;
    private Server primary;

    Group(Store store, String name, String tag, int maxConnections, int slots, long workMillis, long lagMillis) {
        this.store = store;
        this.name = name;
        this.tag = tag;
        this.maxConnections = maxConnections;
        this.slots = slots;
        this.workMillis = workMillis;
        this.lagMillis = lagMillis;
        commits.add(new long[] {1_000, 0});
    }

    /** Starts a server; the first one is the primary. */
    void start(String id, String host, String zone) throws IOException {
        Server server = new Server(id, host, zone);
        synchronized (this) {
            servers.add(server);
            primary = primary == null ? server : primary;
        }
        server.register("ready");
        server.acceptAll();
    }

    /** Reports that a server is going to end. */
    void drain(String id) {
        find(id).register("draining");
    }

    /** Ends a server: its connections are closed, and its entry is removed. */
    void end(String id) throws IOException {
        Server server = find(id);
        server.socket.close();
        for (Socket connection : server.open) {
            connection.close();
        }
        store.remove("servers", id);
    }

    private synchronized Server find(String id) {
        return servers.stream().filter(server -> server.id.equals(id)).findFirst().orElseThrow();
    }

    private synchronized boolean isPrimary(Server server) {
        return server == primary;
    }

    /** Returns the number of the latest commit in the log of a server. */
    private synchronized long position(Server server) {
        long until = server == primary ? Long.MAX_VALUE : now() - lagMillis;
        long found = commits.get(0)[0];
        for (int i = commits.size() - 1; i >= 0; i--) {
            if (commits.get(i)[1] <= until) {
                found = commits.get(i)[0];
                break;
            }
        }
        return found;
    }

    private synchronized void commit() {
        commits.add(new long[] {commits.get(commits.size() - 1)[0] + 1, now()});
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private final class Server {

        private final String id;
        private final String zone;
        private final String host;
        private final ServerSocket socket;
        private final Semaphore slot = new Semaphore(slots, true);
        private final Semaphore room = new Semaphore(maxConnections);
        private final long born = System.currentTimeMillis();
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private long sequence;

        Server(String id, String host, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            this.host = host;
            this.socket = new ServerSocket(0, 128, InetAddress.getByName(host));
        }

        void register(String state) {
            Map<String, Object> spec = new LinkedHashMap<>();
            spec.put("service", name);
            spec.put("address", host + ":" + socket.getLocalPort());
            spec.put("zone", zone);
            spec.put("version", "v1");
            spec.put("slots", (long) slots);
            spec.put("state", state);
            spec.put("cold_left_ms", 0L);
            spec.put("db_role", isPrimary(this) ? "primary" : "replica");
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
            open.add(accepted);
            try (Socket connection = accepted) {
                connection.setTcpNoDelay(true);
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1), 1 << 16);
                OutputStream out = connection.getOutputStream();
                String start = in.readLine();
                if (start == null) {
                    return;
                }
                String[] fields = start.split(" ", 4);
                if (!fields[1].equals(name) || (fields.length > 3 && !fields[3].equals(id))) {
                    send(out, "ERR MISROUTED " + id + "\r\n");
                    return;
                }
                counted = room.tryAcquire();
                if (!counted) {
                    send(out, "ERR TOOMANY full\r\n");
                    return;
                }
                send(out, "READY I " + term + "." + position(this) + "\r\n");
                new Conversation(this, fields[2], in, out).run();
            } catch (IOException e) {
                // The far end has closed the connection, which rolls back.
            } finally {
                open.remove(accepted);
                if (counted) {
                    room.release();
                }
            }
        }

        /** Waits for a slot and works; returns false if too many wait. */
        private boolean work(long millis) {
            if (slot.getQueueLength() > 16) {
                return false;
            }
            slot.acquireUninterruptibly();
            try {
                Env.sleep(millis);
            } finally {
                slot.release();
            }
            return true;
        }
    }

    /** The statements of one connection. */
    private final class Conversation {

        private final Server server;
        private final String tenant;
        private final BufferedReader in;
        private final OutputStream out;
        private final Map<String, String> prepared = new LinkedHashMap<>();
        private char state = 'I';
        private boolean readOnly;
        private boolean wrote;

        Conversation(Server server, String tenant, BufferedReader in, OutputStream out) {
            this.server = server;
            this.tenant = tenant;
            this.in = in;
            this.out = out;
        }

        void run() throws IOException {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("QUERY ")) {
                    String[] fields = line.split(" ", 3);
                    String answer = execute(fields[1], fields[2]);
                    send(out, answer + "READY " + state + " " + term + "." + position(server) + "\r\n");
                } else {
                    return;
                }
            }
        }

        private String execute(String id, String text) {
            String rest = text;
            if (rest.startsWith("WAITLSN ")) {
                String[] fields = rest.split(" ", 3);
                long wanted = Long.parseLong(fields[1].substring(fields[1].indexOf('.') + 1));
                rest = fields[2];
                if (position(server) < wanted) {
                    return error("LAGGING behind");
                }
            }
            String[] words = rest.split(" ", 3);
            if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                return error("MALFORMED failed");
            }
            return switch (words[0]) {
                case "BEGIN" -> begin(rest.equals("BEGIN READ"));
                case "ROLLBACK" -> {
                    state = 'I';
                    yield "DONE -\r\n";
                }
                case "COMMIT" -> commit(id, rest);
                case "READ" -> statement(id, rest, false);
                case "WRITE" -> statement(id, rest, true);
                case "PREPARE" -> {
                    prepared.put(words[1], words[2]);
                    yield "DONE -\r\n";
                }
                case "EXEC" -> {
                    String shape = prepared.get(words[1]);
                    yield shape == null ? error("NOSTMT " + words[1]) : statement(id, rest, shape.startsWith("WRITE"));
                }
                case "RESET" -> {
                    prepared.clear();
                    yield "DONE -\r\n";
                }
                case "SET", "CLOSE" -> "DONE -\r\n";
                case "STATUS" -> {
                    server.work(0);
                    yield "ROW " + (isPrimary(server) ? "primary " : "replica ") + term + " " + term + "."
                            + position(server) + " 0 " + (isPrimary(server) ? 0 : lagMillis) + " 0 1\r\nDONE -\r\n";
                }
                default -> error("MALFORMED unknown");
            };
        }

        private String begin(boolean read) {
            if (!read && !isPrimary(server)) {
                return error("READONLY " + server.id);
            }
            state = 'T';
            readOnly = read;
            wrote = false;
            return "DONE -\r\n";
        }

        private String commit(String id, String text) {
            if (state == 'E') {
                state = 'I';
                return "ERR ABORTED rolled back\r\n";
            }
            if (!server.work(workMillis)) {
                return error("BUSY full");
            }
            runs.add(new Run(now(), server.id, tenant, id, text));
            if (wrote) {
                Group.this.commit();
            }
            state = 'I';
            return "DONE " + signature() + "\r\n";
        }

        private String statement(String id, String text, boolean write) {
            if (write && (!isPrimary(server) || readOnly && state == 'T')) {
                return error("READONLY " + server.id);
            }
            if (!server.work(workMillis)) {
                return error("BUSY full");
            }
            runs.add(new Run(now(), server.id, tenant, id, text.substring(0, Math.min(40, text.length()))));
            if (write && state == 'I') {
                Group.this.commit();
            }
            wrote |= write;
            return (write ? "" : "ROW value\r\n") + "DONE " + signature() + "\r\n";
        }

        private String error(String words) {
            if (state == 'T') {
                state = 'E';
            }
            return "ERR " + words + "\r\n";
        }
    }

    private String signature() {
        return tag + "." + Long.toHexString(SIGNATURES.incrementAndGet()) + "." + Long.toHexString(System.nanoTime());
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
