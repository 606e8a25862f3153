import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A machine is killed and starts again while a primary drains that can't be replaced. Checks DRAIN. */
final class DrainCase {

    private static final long DRAIN_MILLIS = 7_000;
    private static final long STABLE_WINDOW_MILLIS = 4_000;
    private static final long KILL_AFTER_MILLIS = 3_500;
    private static final long RESTART_DELAY_MILLIS = 300;

    /** Time for which the server goes on after drain_ms. */
    private static final long LONGER_MILLIS = 3_000;

    private static final AtomicLong IDS = new AtomicLong();

    private DrainCase() {}

    public static void main(String[] args) {
        Env.run(() -> holds(Path.of(args[0])));
    }

    private static boolean holds(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store(2_000);
        store.onPromotion((service, id, token) -> 503);
        List<String> zones = List.of("recife", "fortaleza", "salvador");
        try (Env env = new Env(record, store, zones)) {
            Group group = new Group(store, "certdb", "d", 60, 16, 9, 20);
            for (int i = 0; i < zones.size(); i++) {
                group.start("i-" + (i + 1), "127.0.0.1", zones.get(i));
            }
            List<Env.Vm> vms = new ArrayList<>();
            List<Object> tenants = new ArrayList<>();
            for (int i = 0; i < zones.size(); i++) {
                String name = "front-" + zones.get(i) + "-1";
                vms.add(env.machine(name, zones.get(i), "127.0.0." + (11 + i)));
                tenants.add(Env.tenant(name, "key-" + name, 1_000, 1_000));
            }
            store.put("config", "main", Env.configuration(7, "certdb", 60,
                    List.of(Env.route("r1", "issue", "primary", "certdb", 300)), tenants), null);
            env.startAll();
            for (Env.Vm vm : vms) {
                env.requireReady(vm);
            }
            Env.sleep(8_000);
            AtomicBoolean stop = new AtomicBoolean();
            Map<String, Long> sent = new ConcurrentHashMap<>();
            AtomicInteger inDoubt = new AtomicInteger();
            vms.forEach(vm -> write(env, vm, stop, sent, inDoubt));
            Env.sleep(3_000);
            group.drain("i-1");
            long acknowledged = Env.elapsed();
            env.note("acknowledged i-1 draining");
            Env.sleep(KILL_AFTER_MILLIS);
            long started = acknowledged;
            if (trouble) {
                env.killAndStart(vms.get(1), RESTART_DELAY_MILLIS);
                started = Env.elapsed();
            }
            Env.sleep(Math.max(0, acknowledged + DRAIN_MILLIS + LONGER_MILLIS - Env.elapsed()));
            int before = inDoubt.get();
            group.end("i-1");
            env.note("i-1 ended");
            Env.sleep(1_000);
            stop.set(true);
            Env.sleep(500);
            long offset = System.nanoTime() / 1_000_000 - Env.elapsed();
            int late = 0;
            for (Group.Run run : group.runs) {
                long at = run.atMillis() - offset;
                boolean restarted = run.tenant().equals(vms.get(1).name);
                boolean inTouch = !restarted || sent.get(run.id()) >= started + STABLE_WINDOW_MILLIS;
                boolean counts = run.server().equals("i-1") && at > acknowledged + DRAIN_MILLIS && inTouch;
                late += counts ? 1 : 0;
                env.note("run id=" + run.id() + " server=" + run.server() + " at=" + at + " machine=" + run.tenant()
                        + (counts ? " LATE" : ""));
            }
            String line = "late=" + late + " in_doubt_at_the_end=" + (inDoubt.get() - before);
            env.note(line);
            System.out.println(line);
            return late == 0;
        }
    }

    private static void write(
            Env env, Env.Vm vm, AtomicBoolean stop, Map<String, Long> sent, AtomicInteger inDoubt) {
        for (int i = 0; i < 8; i++) {
            Env.daemon(() -> {
                while (!stop.get()) {
                    try (Client client = new Client(vm, 5_000)) {
                        if (client.start("issue", "key-" + vm.name)) {
                            while (!stop.get()) {
                                String id = "w" + IDS.incrementAndGet();
                                sent.put(id, Env.elapsed());
                                String outcome = client.query(id, "WRITE 1a4 " + id).outcome();
                                env.note("answer id=" + id + " machine=" + vm.name + " sent_at=" + sent.get(id) + " "
                                        + outcome.substring(0, Math.min(40, outcome.length())));
                                if (outcome.startsWith("ERR INDOUBT") || outcome.startsWith("ERR TIMEOUT")) {
                                    inDoubt.incrementAndGet();
                                }
                                Env.sleep(10);
                            }
                        }
                    } catch (IOException e) {
                        Env.sleep(50);
                    }
                }
            });
        }
    }
}
