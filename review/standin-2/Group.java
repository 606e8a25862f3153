import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** One service: a primary and its replicas, which speak the users' wire and register themselves in the store. */
final class Group {

    /** Work of a read or a write, milliseconds. */
    private static final long WORK_MILLIS = 2;

    /** Time after which a commit that no replica has received is given up, milliseconds. */
    private static final long COMMIT_WAIT_MILLIS = 1_000;

    final String name;
    final int sync;
    final int maxConnections;
    final List<Server> servers = new ArrayList<>();
    final Set<String> acknowledged = new HashSet<>();
    private final Store store;
    private final long promoteMillis;
    private final int minReceiveMillis;
    private final int maxReceiveMillis;
    private final Random random;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> daemon(task, "group"));
    private Server primary;
    private long term = 1;
    private volatile Listener listener = new Listener() {};

    Group(
            String name,
            int sync,
            int maxConnections,
            Store store,
            long promoteMillis,
            int minReceiveMillis,
            int maxReceiveMillis,
            long seed) {
        this.name = name;
        this.sync = sync;
        this.maxConnections = maxConnections;
        this.store = store;
        this.promoteMillis = promoteMillis;
        this.minReceiveMillis = minReceiveMillis;
        this.maxReceiveMillis = maxReceiveMillis;
        this.random = new Random(seed);
    }

    void listen(Listener next) {
        listener = next;
    }

    Server add(String id, String zone) throws IOException {
        Server server = new Server(id, zone);
        servers.add(server);
        if (primary == null) {
            primary = server;
        }
        return server;
    }

    synchronized Server primary() {
        return primary;
    }

    void registerAll() {
        servers.forEach(Server::register);
    }

    /** Carries out an accepted promotion after the group's time for it. */
    void promote(Server target) {
        timer.schedule(() -> lead(target), promoteMillis, TimeUnit.MILLISECONDS);
    }

    private void lead(Server target) {
        List<Server> changed = new ArrayList<>();
        synchronized (this) {
            if (primary == target) {
                return;
            }
            Server old = primary;
            term++;
            primary = target;
            listener.promoted(old, target);
            for (Server server : servers) {
                if (server != target) {
                    server.log.clear();
                    server.log.addAll(target.log);
                    server.number = target.number;
                    server.data.clear();
                    server.data.putAll(target.data);
                }
                server.paused = false;
            }
            changed.addAll(servers);
        }
        changed.forEach(Server::register);
    }

    /** Commits writes at the primary and returns whether the commit may be acknowledged. */
    private boolean commit(Server at, String id, Map<String, String> writes) {
        CompletableFuture<Boolean> received = new CompletableFuture<>();
        long sentTerm;
        synchronized (this) {
            if (primary != at) {
                return false;
            }
            sentTerm = term;
            at.apply(id, writes);
            for (Server replica : servers) {
                if (replica != at) {
                    long now = Record.now();
                    long delay = minReceiveMillis + random.nextInt(maxReceiveMillis - minReceiveMillis + 1);
                    replica.nextReceiveMillis = Math.max(replica.nextReceiveMillis, now + delay);
                    timer.schedule(
                            () -> receive(replica, sentTerm, id, writes, received),
                            replica.nextReceiveMillis - now,
                            TimeUnit.MILLISECONDS);
                }
            }
        }
        if (sync == 0) {
            return true;
        }
        try {
            return received.get(COMMIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            return false;
        }
    }

    private void receive(
            Server replica, long sentTerm, String id, Map<String, String> writes, CompletableFuture<Boolean> received) {
        synchronized (this) {
            if (term == sentTerm && !replica.paused) {
                replica.apply(id, writes);
                received.complete(true);
            }
        }
    }

    void stop() {
        timer.shutdownNow();
        servers.forEach(Server::stop);
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Is told what servers see. */
    interface Listener {

        /** A server begins to lead; called with the group locked. */
        default void promoted(Server from, Server to) {}

        /** A statement of a client was run. */
        default void ran(Server server, String tenant, String id, String text) {}

        /** Returns the rows that a read of an item finds, if they are not the last value written. */
        default List<String> rows(String item) {
            return List.of();
        }

        /** Returns the time after which a SET is refused for lack of room, milliseconds; negative if it is accepted. */
        default long refusesSetAfterMillis() {
            return -1;
        }

        /** Returns the time after which the answer to a SET is sent once more, milliseconds; negative if it is not. */
        default long repeatsSetAnswerAfterMillis() {
            return -1;
        }

        /** Whether a new connection is cut off from now on. */
        default boolean isCut(Server server, Peer peer) {
            return false;
        }
    }

    /** The calling side of a connection. */
    record Peer(int port, Server server) {}

    /** One database server. */
    final class Server {

        final String id;
        final String zone;
        final List<String> log = new ArrayList<>();
        private final Map<String, String> data = new HashMap<>();
        private final ServerSocket socket;
        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicInteger signatures = new AtomicInteger();
        private final Set<Socket> open = java.util.Collections.synchronizedSet(new HashSet<>());
        private final long born = System.currentTimeMillis();
        volatile String state = "ready";
        private long number = 100;
        private long nextReceiveMillis;
        private boolean paused;
        private int sequence;

        Server(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept, "accept-" + id).start();
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Writes the entry of this server. */
        void register() {
            if (state.equals("gone")) {
                return;
            }
            boolean leads = primary() == this;
            store.put(
                    "servers",
                    id,
                    Json.map(
                            "service",
                            name,
                            "address",
                            address(),
                            "zone",
                            zone,
                            "version",
                            "v1",
                            "slots",
                            2,
                            "state",
                            state,
                            "cold_left_ms",
                            0,
                            "db_role",
                            leads ? "primary" : "replica",
                            "seq_no",
                            sequence++),
                    Json.map("born", born));
        }

        /** Announces that this server will stop; it goes on serving for a while, then ends and leaves the store. */
        void drain(long servesMillis) {
            state = "draining";
            register();
            Record.line("server %s draining acknowledged by the store", id);
            timer.schedule(
                    () -> {
                        state = "gone";
                        stop();
                        store.remove("servers", id);
                        Record.line("server %s ended", id);
                    },
                    servesMillis,
                    TimeUnit.MILLISECONDS);
        }

        void stop() {
            try {
                socket.close();
                for (Socket one : List.copyOf(open)) {
                    one.close();
                }
            } catch (IOException e) {
                // The run has ended.
            }
        }

        private void apply(String commit, Map<String, String> writes) {
            number++;
            log.add(commit);
            data.putAll(writes);
        }

        private String position() {
            synchronized (Group.this) {
                return term + "." + number;
            }
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    daemon(() -> serve(accepted), "session-" + id).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket accepted) {
            connections.incrementAndGet();
            open.add(accepted);
            try (accepted) {
                new Session(this, accepted).run();
            } catch (IOException e) {
                // The other side has closed the connection, which rolls back.
            } finally {
                open.remove(accepted);
                connections.decrementAndGet();
            }
        }
    }

    /** One connection to a server. */
    private final class Session {

        private final Server server;
        private final Peer peer;
        private final BufferedReader in;
        private final OutputStream out;
        private final Map<String, String> prepared = new HashMap<>();
        private final Map<String, String> writes = new LinkedHashMap<>();
        private String tenant = "";
        private String state = "I";
        private boolean readOnly;
        private long startTerm;

        Session(Server server, Socket socket) throws IOException {
            this.server = server;
            this.peer = new Peer(socket.getPort(), server);
            this.in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 1 << 16);
            this.out = socket.getOutputStream();
        }

        void run() throws IOException {
            for (String line = read(); line != null; line = read()) {
                String[] fields = line.split(" ", 3);
                if (fields[0].equals("START")) {
                    if (!start(line)) {
                        return;
                    }
                } else if (fields[0].equals("QUERY") && fields.length == 3) {
                    query(fields[1], fields[2]);
                } else {
                    return;
                }
            }
        }

        private boolean start(String line) throws IOException {
            String[] fields = line.split(" ");
            if (!fields[1].equals(name) || (fields.length > 3 && !fields[3].equals(server.id))) {
                send("ERR MISROUTED " + server.id + "\r\n");
                return false;
            }
            if (server.connections.get() > maxConnections) {
                send("ERR TOOMANY " + server.id + "\r\n");
                return false;
            }
            tenant = fields[2];
            send("READY I " + server.position() + "\r\n");
            return true;
        }

        private void query(String id, String sent) throws IOException {
            String text = sent;
            if (text.startsWith("WAITLSN ")) {
                String[] parts = text.split(" ", 3);
                text = parts[2];
                if (!contains(parts[1])) {
                    fail("LAGGING");
                    return;
                }
            }
            String[] words = text.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            if (state.equals("E") && !words[0].equals("COMMIT") && !words[0].equals("ROLLBACK")) {
                fail("MALFORMED");
                return;
            }
            switch (words[0]) {
                case "BEGIN" -> begin(rest.equals("READ"));
                case "COMMIT" -> commit(id, text);
                case "ROLLBACK" -> {
                    end();
                    done(List.of(), "-");
                }
                case "SET" -> setValue();
                case "CLOSE" -> done(List.of(), "-");
                case "RESET" -> {
                    prepared.clear();
                    done(List.of(), "-");
                }
                case "PREPARE" -> {
                    String[] parts = rest.split(" ", 3);
                    prepared.put(parts[0], parts[1]);
                    done(List.of(), "-");
                }
                case "READ" -> read(id, sent, rest);
                case "WRITE" -> write(id, sent, rest);
                case "EXEC" -> {
                    String[] parts = rest.split(" ", 2);
                    if (!prepared.containsKey(parts[0])) {
                        fail("NOSTMT");
                    } else if (prepared.get(parts[0]).equals("READ")) {
                        read(id, sent, parts[1]);
                    } else {
                        write(id, sent, parts[1]);
                    }
                }
                case "STATUS" -> status();
                case "PAUSE", "RESUME" -> {
                    synchronized (Group.this) {
                        server.paused = words[0].equals("PAUSE") && Long.parseLong(rest) > term && primary != server;
                    }
                    status();
                }
                case "STEPDOWN" -> stepDown(Long.parseLong(rest));
                default -> fail("MALFORMED");
            }
        }

        private void setValue() throws IOException {
            long refusedAfterMillis = listener.refusesSetAfterMillis();
            if (refusedAfterMillis >= 0) {
                pause(refusedAfterMillis);
                fail("BUSY");
                return;
            }
            String answer = "DONE -\r\nREADY " + state + " " + server.position() + "\r\n";
            send(answer);
            long repeatedAfterMillis = listener.repeatsSetAnswerAfterMillis();
            if (repeatedAfterMillis >= 0) {
                timer.schedule(() -> repeat(answer), repeatedAfterMillis, TimeUnit.MILLISECONDS);
            }
        }

        private void repeat(String answer) {
            try {
                send(answer);
                Record.line("answer to SET repeated server=%s", server.id);
            } catch (IOException e) {
                // The connection has ended meanwhile.
            }
        }

        private boolean contains(String position) {
            String[] parts = position.split("\\.");
            synchronized (Group.this) {
                long wanted = Long.parseLong(parts[0]);
                return wanted < term || (wanted == term && Long.parseLong(parts[1]) <= server.number);
            }
        }

        private void begin(boolean only) throws IOException {
            synchronized (Group.this) {
                startTerm = term;
            }
            if (!only && !leads()) {
                fail("READONLY");
            } else if (!state.equals("I")) {
                fail("MALFORMED");
            } else {
                readOnly = only;
                state = "T";
                done(List.of(), "-");
            }
        }

        private boolean leads() {
            synchronized (Group.this) {
                return primary == server && startTerm <= term;
            }
        }

        private boolean lostLead() {
            synchronized (Group.this) {
                return state.equals("T") && !readOnly && (primary != server || startTerm != term);
            }
        }

        private void read(String id, String sent, String item) throws IOException {
            if (lostLead()) {
                fail("READONLY");
                return;
            }
            work();
            listener.ran(server, tenant, id, sent);
            String value;
            synchronized (Group.this) {
                value = writes.containsKey(item) ? writes.get(item) : server.data.getOrDefault(item, "none");
            }
            List<String> rows = listener.rows(item);
            done(rows.isEmpty() ? List.of(value) : rows, signature());
        }

        private void write(String id, String sent, String rest) throws IOException {
            String[] parts = rest.split(" ", 2);
            if (readOnly && state.equals("T") || !leads() || lostLead()) {
                fail("READONLY");
                return;
            }
            work();
            listener.ran(server, tenant, id, sent);
            if (state.equals("T")) {
                writes.put(parts[0], parts[1]);
                done(List.of(), signature());
            } else {
                acknowledge(id, Map.of(parts[0], parts[1]));
            }
        }

        private void commit(String id, String sent) throws IOException {
            if (!state.equals("T")) {
                end();
                fail("ABORTED");
            } else if (writes.isEmpty()) {
                end();
                work();
                done(List.of(), signature());
            } else if (lostLead()) {
                fail("READONLY");
            } else {
                Map<String, String> all = Map.copyOf(writes);
                end();
                work();
                listener.ran(server, tenant, id, sent);
                acknowledge(id, all);
            }
        }

        private void acknowledge(String id, Map<String, String> all) throws IOException {
            boolean kept = Group.this.commit(server, id, all);
            synchronized (Group.this) {
                // A server that has lost the lead acknowledges nothing more.
                kept &= primary == server;
                if (kept) {
                    acknowledged.add(id);
                }
            }
            if (kept) {
                done(List.of(), signature());
            } else {
                fail("FAILED");
            }
        }

        private void stepDown(long newTerm) throws IOException {
            boolean wasPrimary;
            synchronized (Group.this) {
                wasPrimary = primary == server && newTerm > term;
                if (wasPrimary) {
                    primary = null;
                }
            }
            Record.line("stepdown server=%s term=%d effective=%s", server.id, newTerm, wasPrimary);
            if (wasPrimary) {
                server.register();
            }
            status();
        }

        private void status() throws IOException {
            String row;
            synchronized (Group.this) {
                row = (primary == server ? "primary" : "replica") + " " + term + " " + term + "." + server.number + " 0 "
                        + (maxReceiveMillis / 2) + " 0 " + server.connections.get();
            }
            done(List.of(row), "-");
        }

        private void end() {
            state = "I";
            writes.clear();
            readOnly = false;
        }

        private String signature() {
            return server.id + "." + Integer.toHexString(server.signatures.incrementAndGet());
        }

        private void work() {
            pause(WORK_MILLIS);
        }

        private void pause(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void fail(String code) throws IOException {
            if (state.equals("T")) {
                state = "E";
            }
            send("ERR " + code + " " + server.id + "\r\nREADY " + state + " " + server.position() + "\r\n");
        }

        private void done(List<String> rows, String signature) throws IOException {
            StringBuilder reply = new StringBuilder();
            rows.forEach(row -> reply.append("ROW ").append(row).append("\r\n"));
            reply.append("DONE ").append(signature).append("\r\n");
            send(reply + "READY " + state + " " + server.position() + "\r\n");
        }

        private String read() throws IOException {
            String line = in.readLine();
            awaitPath();
            return line;
        }

        private void send(String text) throws IOException {
            awaitPath();
            synchronized (out) {
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        /** Holds the bytes of a connection that is cut off. */
        private void awaitPath() {
            while (listener.isCut(server, peer)) {
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }
}
