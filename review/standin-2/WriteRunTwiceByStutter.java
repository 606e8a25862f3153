import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers refuse some session values for lack of room; with the disruption, they also answer some of them twice. */
final class WriteRunTwiceByStutter {

    private static final int VMS = 3;
    private static final int CLIENTS_PER_VM = 8;
    private static final long REFUSED_AFTER_MILLIS = 20;
    private static final double REFUSED_SHARE = 0.1;
    private static final double REPEATED_SHARE = 0.1;
    private static final int MAX_REPEAT_DELAY_MILLIS = 50;
    private static final long RUN_MILLIS = 40_000;

    private static volatile boolean ended;

    private WriteRunTwiceByStutter() {}

    /** Runs the case and returns its exit status. */
    static int run(Deployment deployment, boolean trouble) throws Exception {
        Group group = deployment.addGroup(new Group("certdb", 0, 100, deployment.store, 300, 1, 5, 1));
        deployment.configure(
                List.of(Deployment.route("issuedb", "primary", "certdb", 800, 100)),
                List.of(Deployment.tenant("school", 5_000, 5_000, "key-school")));
        group.registerAll();
        group.listen(new Group.Listener() {
            @Override
            public void ran(Group.Server server, String tenant, String id, String text) {
                Record.line("ran server=%s tenant=%s id=%s text=%s", server.id, tenant, id, text);
            }

            @Override
            public long refusesSetAfterMillis() {
                return ThreadLocalRandom.current().nextDouble() < REFUSED_SHARE ? REFUSED_AFTER_MILLIS : -1;
            }

            @Override
            public long repeatsSetAnswerAfterMillis() {
                ThreadLocalRandom random = ThreadLocalRandom.current();
                return trouble && random.nextDouble() < REPEATED_SHARE ? random.nextInt(MAX_REPEAT_DELAY_MILLIS) : -1;
            }
        });
        deployment.startVms(VMS);
        Thread.sleep(4_000);
        AtomicInteger answered = new AtomicInteger();
        for (Vm vm : deployment.vms) {
            for (int i = 0; i < CLIENTS_PER_VM; i++) {
                String value = vm.name + "-" + i;
                Thread client = new Thread(() -> run(vm, value, answered), "client");
                client.setDaemon(true);
                client.start();
            }
        }
        Thread.sleep(RUN_MILLIS);
        ended = true;
        Thread.sleep(1_500);
        Set<String> once = new HashSet<>();
        Set<String> twice = new TreeSet<>();
        List<String> log;
        synchronized (group) {
            log = new ArrayList<>(group.primary().log);
        }
        for (String id : log) {
            if (!once.add(id)) {
                twice.add(id);
            }
        }
        Record.line("result writes_kept=%d kept_twice=%d %s", once.size(), twice.size(), twice);
        System.out.printf("answered=%d kept=%d twice=%d%n", answered.get(), once.size(), twice.size());
        return once.size() < 500 ? 2 : twice.isEmpty() ? 0 : 1;
    }

    private static void run(Vm vm, String value, AtomicInteger answered) {
        int count = 0;
        while (!ended) {
            try (Client client = new Client(vm, "issuedb", "key-school", 4_000)) {
                client.query(Client.newId(), "SET app " + value);
                while (!ended) {
                    String id = Client.newId();
                    Client.Reply reply = client.query(id, "WRITE " + value + " v" + count++);
                    answered.incrementAndGet();
                    Record.line("answered vm=%s id=%s outcome=%s", vm.name, id, reply.outcome());
                    Thread.sleep(5);
                }
            } catch (IOException e) {
                Record.line("client vm=%s error=%s", vm.name, e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
