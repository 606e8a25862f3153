import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** The operator lowers the limit of a tenant to nothing. Checks QUOTA once the lower limit binds. */
final class BlockedCase {

    private static final double RATE = 40;
    private static final double BURST = 40;
    private static final double OVERSHOOT = 0.1;
    private static final double SLACK = 20;
    private static final long WINDOW_MILLIS = 5_000;

    /** Time after the acknowledgement from which windows are checked: config_apply_ms and one window. */
    private static final long BINDS_AFTER_MILLIS = 3_000 + WINDOW_MILLIS;

    private static final int SESSIONS = 6;
    private static final AtomicLong IDS = new AtomicLong();
    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();

    private BlockedCase() {}

    public static void main(String[] args) {
        Env.run(() -> holds(Path.of(args[0])));
    }

    private static boolean holds(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store(2_000);
        try (Env env = new Env(record, store, List.of("recife", "fortaleza", "salvador"))) {
            Group group = new Group(store, "certdb", "b", 200, 40, 3, 20);
            group.start("i-1", "127.0.0.1", "recife");
            group.start("i-2", "127.0.0.1", "fortaleza");
            group.start("i-3", "127.0.0.1", "salvador");
            List<Map<String, Object>> routes = List.of(Env.route("r1", "lookup", "bounded", "certdb", 300));
            store.put("config", "main", Env.configuration(7, "certdb", 200, routes, List.of(
                    Env.tenant("tenant", "key", RATE, BURST), Env.tenant("other", "key2", RATE, BURST))), null);
            List<Env.Vm> vms = new ArrayList<>();
            vms.add(env.machine("front-recife-1", "recife", "127.0.0.11"));
            vms.add(env.machine("front-fortaleza-1", "fortaleza", "127.0.0.12"));
            vms.add(env.machine("front-salvador-1", "salvador", "127.0.0.13"));
            env.startAll();
            for (Env.Vm vm : vms) {
                env.requireReady(vm);
            }
            Env.sleep(8_000);
            AtomicBoolean stop = new AtomicBoolean();
            vms.forEach(vm -> press(env, vm, stop));
            Env.sleep(6_000);
            double rate = trouble ? 0 : RATE;
            double burst = trouble ? 0 : BURST;
            store.put("config", "main", Env.configuration(9, "certdb", 200, routes, List.of(
                    Env.tenant("tenant", "key", rate, burst), Env.tenant("other", "key2", RATE, BURST))), null);
            long acknowledged = Env.elapsed();
            env.note("acknowledged version=9 rate_per_s=" + rate + " burst=" + burst);
            Env.sleep(BINDS_AFTER_MILLIS + 2 * WINDOW_MILLIS);
            stop.set(true);
            Env.sleep(500);
            double allowed = (rate * WINDOW_MILLIS / 1_000 + burst) * (1 + OVERSHOOT) + SLACK;
            long offset = System.nanoTime() / 1_000_000 - Env.elapsed();
            int most = 0;
            List<long[]> runs = new ArrayList<>();
            for (Group.Run run : group.runs) {
                env.note("run id=" + run.id() + " sent_at=" + SENT.get(run.id()) + " run_at=" + (run.atMillis() - offset));
                runs.add(new long[] {SENT.get(run.id()), run.atMillis() - offset});
            }
            for (long[] first : runs) {
                long from = first[0];
                if (from >= acknowledged + BINDS_AFTER_MILLIS) {
                    most = Math.max(most, (int) runs.stream()
                            .filter(one -> one[0] >= from && one[1] < from + WINDOW_MILLIS)
                            .count());
                }
            }
            String line = "most=" + most + " allowed=" + allowed;
            env.note(line);
            System.out.println(line);
            return most <= allowed;
        }
    }

    private static void press(Env env, Env.Vm vm, AtomicBoolean stop) {
        for (int i = 0; i < SESSIONS; i++) {
            Env.daemon(() -> {
                while (!stop.get()) {
                    try (Client client = new Client(vm, 5_000)) {
                        if (client.start("lookup", "key")) {
                            while (!stop.get()) {
                                String id = "q" + IDS.incrementAndGet();
                                SENT.put(id, Env.elapsed());
                                String outcome = client.query(id, "READ 1a4").outcome();
                                env.note("answer id=" + id + " " + outcome.substring(0, Math.min(40, outcome.length())));
                                Env.sleep(25);
                            }
                        }
                    } catch (IOException e) {
                        Env.sleep(100);
                    }
                }
            });
        }
    }
}
