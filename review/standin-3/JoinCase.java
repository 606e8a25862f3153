import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A primary is cut off from its replicas and from two of five machines while a new server of the service starts. Checks
 * LOST: the server that is promoted has every commit that a client was told of.
 */
final class JoinCase {

    private static final long CUT_MILLIS = 5_000;
    private static final long PROMOTE_MILLIS = 1_000;

    /** Time between the order to promote and the start of the new server. */
    private static final long JOIN_AFTER_MILLIS = 300;

    private static final AtomicLong IDS = new AtomicLong();

    private JoinCase() {}

    public static void main(String[] args) {
        Env.run(() -> holds(Path.of(args[0])));
    }

    private static boolean holds(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store(2_000);
        List<String> names = List.of(
                "front-recife-1", "front-recife-2", "front-fortaleza-1", "front-salvador-1", "front-salvador-2");
        try (Env env = new Env(record, store, List.of("recife", "fortaleza", "salvador"))) {
            SyncGroup group = new SyncGroup(store, "certdb", 60, PROMOTE_MILLIS, env::note);
            group.start("i-1", "recife");
            group.start("i-2", "fortaleza");
            group.start("i-3", "salvador");
            store.put("config", "main", Env.configuration(7, "certdb", 60, 1,
                    List.of(Env.route("r1", "issue", "primary", "certdb", 300)),
                    names.stream().map(name -> (Object) Env.tenant(name, "key-" + name, 1_000, 1_000)).toList()), null);
            List<Env.Vm> vms = new ArrayList<>();
            for (int i = 0; i < names.size(); i++) {
                vms.add(env.machine(names.get(i), names.get(i).split("-")[1], "127.0.0." + (11 + i)));
            }
            env.startAll();
            for (Env.Vm vm : vms) {
                env.requireReady(vm);
            }
            Env.sleep(8_000);
            // At a start the leadership may change hands before all machines know each other, and the first leader goes on
            // acting as one. It is stopped and started again, so that this case is about one leader.
            List<Object> holders = new ArrayList<>(leaders(store));
            for (Env.Vm vm : vms) {
                if (holders.contains(vm.name) && !vm.name.equals(holders.get(holders.size() - 1))) {
                    env.restart(vm);
                    env.requireReady(vm);
                    Env.sleep(4_000);
                }
            }
            AtomicBoolean stop = new AtomicBoolean();
            Map<String, Long> acknowledged = new ConcurrentHashMap<>();
            vms.forEach(vm -> write(env, vm, stop, acknowledged));
            AtomicInteger lost = new AtomicInteger();
            AtomicInteger promotions = new AtomicInteger();
            group.onPromoted(log -> {
                promotions.incrementAndGet();
                Set<String> kept = new HashSet<>();
                log.forEach(commit -> kept.add(commit.id()));
                acknowledged.forEach((id, at) -> {
                    if (!kept.contains(id)) {
                        lost.incrementAndGet();
                        env.note("LOST id=" + id + " acknowledged_at=" + at);
                    }
                });
            });
            Env.sleep(4_000);
            List<Object> leaders = leaders(store);
            env.note("leaders so far " + leaders);
            List<String> far = new ArrayList<>(List.of("i-2", "i-3"));
            names.stream().filter(name -> !leaders.contains(name)).limit(2).forEach(far::add);
            if (trouble) {
                env.note("primary cut from " + far);
                far.forEach(one -> group.setCut("i-1", one, true));
            }
            long healAt = Env.elapsed() + CUT_MILLIS;
            while (trouble && group.orders() == 0 && Env.elapsed() < healAt) {
                Env.sleep(10);
            }
            Env.sleep(JOIN_AFTER_MILLIS);
            group.start("i-4", "recife");
            Env.sleep(Math.max(0, healAt - Env.elapsed()));
            far.forEach(one -> group.setCut("i-1", one, false));
            env.note("cut healed");
            Env.sleep(4_000);
            stop.set(true);
            Env.sleep(500);
            String line = "promotions=" + promotions + " acknowledged=" + acknowledged.size() + " lost=" + lost;
            env.note(line);
            System.out.println(line);
            if (acknowledged.size() < 100 || (trouble && promotions.get() == 0)) {
                throw new IllegalStateException("too few commits, or no promotion during the cut");
            }
            return lost.get() == 0;
        }
    }

    private static List<Object> leaders(Store store) {
        return store.written("hyssopswitch-duties").stream()
                .map(spec -> Json.object(spec).get("holder"))
                .toList();
    }

    private static void write(Env env, Env.Vm vm, AtomicBoolean stop, Map<String, Long> acknowledged) {
        for (int i = 0; i < 3; i++) {
            Env.daemon(() -> {
                while (!stop.get()) {
                    try (Client client = new Client(vm, 5_000)) {
                        if (client.start("issue", "key-" + vm.name)) {
                            while (!stop.get()) {
                                String id = "w" + IDS.incrementAndGet();
                                env.note("sent id=" + id + " machine=" + vm.name);
                                Client.Answer answer = client.query(id, "WRITE 1a4 " + id);
                                env.note("answer id=" + id + " " + answer.outcome());
                                if (answer.succeeded()) {
                                    acknowledged.put(id, Env.elapsed());
                                }
                                Env.sleep(40);
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
