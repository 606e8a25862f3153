import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A few clients send statements and read no answers. Checks that the machine goes on answering the other clients. */
final class FloodCase {

    private static final int FLOODERS = 100;
    private static final String STATEMENT = "SET a b";
    private static final long FLOOD_MILLIS = 7_000;

    /** Time after the flood in which the machine may still be behind, milliseconds: recovery_s of the settings. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final long CHECKED_MILLIS = 20_000;

    private FloodCase() {}

    public static void main(String[] args) {
        Env.run(() -> holds(Path.of(args[0])));
    }

    private static boolean holds(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store(2_000);
        try (Env env = new Env(record, store, List.of("recife", "fortaleza", "salvador"))) {
            Group group = new Group(store, "certdb", "f", 60, 8, 3, 20);
            group.start("i-1", "127.0.0.1", "recife");
            group.start("i-2", "127.0.0.1", "fortaleza");
            group.start("i-3", "127.0.0.1", "salvador");
            store.put("config", "main", Env.configuration(7, "certdb", 60,
                    List.of(Env.route("r1", "issue", "primary", "certdb", 300)),
                    List.of(Env.tenant("tenant", "key", 100, 100), Env.tenant("rude", "rude", 100, 100))), null);
            Env.Vm vm = env.machine("front-recife-1", "recife", "127.0.0.11");
            env.startAll();
            env.requireReady(vm);
            Env.sleep(3_000);
            AtomicBoolean stop = new AtomicBoolean();
            AtomicLong flooded = new AtomicLong();
            AtomicInteger flooding = new AtomicInteger();
            if (trouble) {
                for (int i = 0; i < FLOODERS; i++) {
                    Env.daemon(() -> flood(env, vm, stop, flooded, flooding));
                }
            }
            Probe during = new Probe(env, vm, "during", (int) (FLOOD_MILLIS + RECOVERY_MILLIS + CHECKED_MILLIS));
            during.send(FLOOD_MILLIS);
            stop.set(true);
            env.note("flood ended, statements sent " + flooded);
            Env.sleep(RECOVERY_MILLIS);
            Probe after = new Probe(env, vm, "after", (int) CHECKED_MILLIS);
            after.send(CHECKED_MILLIS / 2);
            Env.sleep(CHECKED_MILLIS / 2);
            String line = "alive=" + vm.process.isAlive() + " ready=" + vm.isReady() + " statements=" + flooded + "; "
                    + during + "; " + after;
            env.note(line);
            System.out.println(line);
            try (var lines = Files.lines(env.log(vm), StandardCharsets.ISO_8859_1)) {
                System.out.println("OutOfMemoryError lines: " + lines.filter(one -> one.contains("OutOfMemory")).count());
            }
            return 4 * after.served.get() >= after.sent.get();
        }
    }

    private static void flood(Env env, Env.Vm vm, AtomicBoolean stop, AtomicLong sent, AtomicInteger flooding) {
        int number = flooding.incrementAndGet();
        while (!stop.get()) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(4_096);
                socket.connect(new InetSocketAddress(vm.ip, vm.front), 2_000);
                OutputStream out = socket.getOutputStream();
                out.write("START issue rude\r\n".getBytes(StandardCharsets.ISO_8859_1));
                Env.sleep(200);
                for (long i = 0; !stop.get(); i += 50) {
                    StringBuilder batch = new StringBuilder();
                    for (int j = 0; j < 50; j++) {
                        batch.append("QUERY f" + number + "-" + (i + j) + " " + STATEMENT + "\r\n");
                    }
                    out.write(batch.toString().getBytes(StandardCharsets.ISO_8859_1));
                    sent.addAndGet(50);
                    Env.sleep(1);
                }
            } catch (IOException e) {
                env.note("flooding client cut off: " + e.getMessage());
                Env.sleep(50);
            }
        }
    }

    /** Reads of another tenant, each in a session of its own. */
    private static final class Probe {

        private final Env env;
        private final Env.Vm vm;
        private final String phase;
        private final int timeoutMillis;
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final AtomicInteger closed = new AtomicInteger();

        Probe(Env env, Env.Vm vm, String phase, int timeoutMillis) {
            this.env = env;
            this.vm = vm;
            this.phase = phase;
            this.timeoutMillis = timeoutMillis;
        }

        /** Sends one read every 200 ms. */
        void send(long millis) {
            long until = Env.elapsed() + millis;
            for (int i = 0; Env.elapsed() < until; i++) {
                String id = phase + i;
                sent.incrementAndGet();
                Env.daemon(() -> read(id));
                Env.sleep(200);
            }
        }

        private void read(String id) {
            boolean opened = false;
            try (Client client = new Client(vm, timeoutMillis)) {
                opened = client.start("issue", "key");
                env.note("session id=" + id + " opened=" + opened);
                if (!opened) {
                    closed.incrementAndGet();
                    return;
                }
                String outcome = client.query(id, "READ 1a4").outcome();
                env.note("answer id=" + id + " " + outcome.substring(0, Math.min(50, outcome.length())));
                (outcome.startsWith("DONE") ? served : outcome.startsWith("ERR") ? refused : closed).incrementAndGet();
            } catch (SocketTimeoutException e) {
                env.note("no answer id=" + id + " opened=" + opened);
            } catch (IOException e) {
                closed.incrementAndGet();
                env.note("closed id=" + id + " opened=" + opened + " " + e);
            }
        }

        @Override
        public String toString() {
            return phase + ": sent=" + sent + " served=" + served + " refused=" + refused + " closed=" + closed + ", the rest not answered";
        }
    }
}
