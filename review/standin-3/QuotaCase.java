import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tenants that always ask for more than their limit, while a machine is added to a zone. Checks QUOTA over all windows of
 * five seconds at the servers.
 */
final class QuotaCase {

    private static final double RATE = Double.parseDouble(System.getenv().getOrDefault("RATE", "150"));
    private static final double BURST = Double.parseDouble(System.getenv().getOrDefault("BURST", "75"));
    private static final long WINDOW_MILLIS = 5_000;
    private static final double OVERSHOOT = 0.1;
    private static final double SLACK = 20;
    private static final int TENANTS = 4;
    private static final int SESSIONS = 4;

    private static final AtomicLong IDS = new AtomicLong();
    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();

    private static final Map<String, String> ANSWERS = new ConcurrentHashMap<>();

    private QuotaCase() {}

    public static void main(String[] args) {
        Env.run(() -> holds(Path.of(args[0])));
    }

    private static boolean holds(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store(2_000);
        List<String> zones = List.of("recife", "fortaleza", "salvador");
        try (Env env = new Env(record, store, zones)) {
            Group group = new Group(store, "certdb", "q", 200, 40, 3, 20);
            group.start("i-1", "127.0.0.1", "recife");
            group.start("i-2", "127.0.0.1", "fortaleza");
            group.start("i-3", "127.0.0.1", "salvador");
            List<Object> tenants = new ArrayList<>();
            for (int i = 0; i < TENANTS; i++) {
                tenants.add(Env.tenant("tenant" + i, "key" + i, RATE, BURST));
            }
            store.put("config", "main", Env.configuration(7, "certdb", 200,
                    List.of(Env.route("r1", "lookup", "bounded", "certdb", 300)), tenants), null);
            List<Env.Vm> vms = new ArrayList<>();
            vms.add(env.machine("front-recife-1", "recife", "127.0.0.11"));
            vms.add(env.machine("front-fortaleza-1", "fortaleza", "127.0.0.12"));
            vms.add(env.machine("front-salvador-1", "salvador", "127.0.0.13"));
            env.startAll();
            for (Env.Vm vm : vms) {
                env.requireReady(vm);
            }
            Env.sleep(12_000);
            env.note("load starts");
            AtomicBoolean stop = new AtomicBoolean();
            vms.forEach(vm -> press(vm, stop));
            Env.sleep(8_000);
            if (trouble) {
                Env.Vm added = env.machine("front-fortaleza-2", "fortaleza", "127.0.0.14");
                env.note("machine added");
                env.start(added);
                env.requireReady(added);
                press(added, stop);
            }
            Env.sleep(15_000);
            stop.set(true);
            Env.sleep(500);
            return check(env, group);
        }
    }

    private static void press(Env.Vm vm, AtomicBoolean stop) {
        for (int t = 0; t < TENANTS; t++) {
            String key = "key" + t;
            for (int i = 0; i < SESSIONS; i++) {
                Env.daemon(() -> {
                    while (!stop.get()) {
                        try (Client client = new Client(vm, 5_000)) {
                            if (client.start("lookup", key)) {
                                while (!stop.get()) {
                                    String id = "q" + IDS.incrementAndGet();
                                    SENT.put(id, Env.elapsed());
                                    String outcome = client.query(id, "READ 1a4").outcome();
                                    ANSWERS.put(id, Env.elapsed() + " " + outcome.substring(0, Math.min(60, outcome.length())));
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

    private static boolean check(Env env, Group group) {
        double allowed = (RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERSHOOT) + SLACK;
        long offset = System.nanoTime() / 1_000_000 - Env.elapsed();
        Map<String, List<long[]>> byTenant = new TreeMap<>();
        Map<String, Boolean> seen = new HashMap<>();
        int repeated = 0;
        for (Group.Run run : group.runs) {
            if (seen.put(run.id(), true) != null) {
                repeated++;
                continue;
            }
            env.note("run id=" + run.id() + " tenant=" + run.tenant() + " sent_at=" + SENT.get(run.id()) + " run_at="
                    + (run.atMillis() - offset) + " server=" + run.server());
            byTenant.computeIfAbsent(run.tenant(), tenant -> new ArrayList<>())
                    .add(new long[] {SENT.get(run.id()), run.atMillis() - offset});
        }
        ANSWERS.forEach((id, answer) -> env.note("answer id=" + id + " sent_at=" + SENT.get(id) + " answered_at=" + answer));
        boolean held = true;
        for (Map.Entry<String, List<long[]>> tenant : byTenant.entrySet()) {
            int most = 0;
            long at = 0;
            for (long[] first : tenant.getValue()) {
                long from = first[0];
                // A request counts in a window in which it was sent and in which it arrived.
                int count = (int) tenant.getValue().stream()
                        .filter(one -> one[0] >= from && one[1] < from + WINDOW_MILLIS)
                        .count();
                if (count > most) {
                    most = count;
                    at = from;
                }
            }
            String line = "tenant=" + tenant.getKey() + " most=" + most + " allowed=" + allowed + " window_from=" + at;
            env.note(line);
            System.out.println(line);
            held &= most <= allowed;
        }
        env.note("requests sent=" + SENT.size() + " run=" + seen.size() + " runs_of_the_same_request=" + repeated);
        return held;
    }
}
