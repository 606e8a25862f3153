import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine starts again while the primary of a service drains and the platform's promotions are down. */
final class DrainForgottenAtRestart {

    private static final int VMS = 3;
    private static final int CLIENTS_PER_VM = 6;
    private static final long DRAIN_MILLIS = 7_000;
    private static final long LINGER_MILLIS = 3_000;
    private static final long STABLE_WINDOW_MILLIS = 4_000;

    private static final long KILL_AFTER_MILLIS = 4_400;

    private static final AtomicInteger IN_DOUBT = new AtomicInteger();
    private static volatile boolean ended;

    private DrainForgottenAtRestart() {}

    /** Runs the case and returns its exit status. */
    static int run(Deployment deployment, boolean trouble) throws Exception {
        Group group = deployment.addGroup(new Group("certdb", 0, 100, deployment.store, 300, 1, 5, 1));
        deployment.configure(
                List.of(Deployment.route("issuedb", "primary", "certdb", 800, 100)),
                List.of(Deployment.tenant("school", 500, 500, "key-school")));
        group.registerAll();
        deployment.startVms(VMS);
        Vm restarted = deployment.vms.get(0);
        Group.Server draining = group.primary();
        java.util.Map<String, Sent> sent = new java.util.concurrent.ConcurrentHashMap<>();
        AtomicInteger late = new AtomicInteger();
        long[] acknowledged = {Long.MAX_VALUE / 2};
        long[] startedAgain = {Long.MIN_VALUE / 2};
        group.listen(new Group.Listener() {
            @Override
            public void ran(Group.Server server, String tenant, String id, String text) {
                long now = Record.now();
                Sent by = sent.get(id);
                boolean inTouch = by == null
                        || by.vm() != restarted
                        || by.millis() >= startedAgain[0] + STABLE_WINDOW_MILLIS;
                boolean tooLate = server == draining && now > acknowledged[0] + DRAIN_MILLIS && inTouch;
                if (tooLate) {
                    late.incrementAndGet();
                }
                Record.line(
                        "ran server=%s id=%s vm=%s after_drain_ms=%d in_touch=%s broken=%s",
                        server.id, id, by == null ? "?" : by.vm().name, now - acknowledged[0], inTouch, tooLate);
            }
        });
        for (Vm vm : deployment.vms) {
            for (int i = 0; i < CLIENTS_PER_VM; i++) {
                Thread client = new Thread(() -> run(vm, sent), "client");
                client.setDaemon(true);
                client.start();
            }
        }
        Thread.sleep(6_000);
        deployment.cloud.setDown(true);
        draining.drain(DRAIN_MILLIS + LINGER_MILLIS);
        acknowledged[0] = Record.now();
        Thread.sleep(KILL_AFTER_MILLIS);
        if (trouble) {
            restarted.kill();
            restarted.awaitEnd();
            Thread.sleep(300);
            restarted.start();
            startedAgain[0] = Record.now();
        }
        Thread.sleep(8_000);
        ended = true;
        Thread.sleep(500);
        Record.line(
                "result statements_at_draining_server_after_%d_ms=%d writes_in_doubt=%d",
                DRAIN_MILLIS, late.get(), IN_DOUBT.get());
        System.out.printf("late=%d in_doubt=%d%n", late.get(), IN_DOUBT.get());
        return sent.size() < 200 ? 2 : late.get() > 0 ? 1 : 0;
    }

    private static void run(Vm vm, java.util.Map<String, Sent> sent) {
        int count = 0;
        while (!ended) {
            try (Client client = new Client(vm, "issuedb", "key-school", 4_000)) {
                while (!ended) {
                    String id = Client.newId();
                    sent.put(id, new Sent(vm, Record.now()));
                    Client.Reply reply = client.query(id, count++ % 2 == 0 ? "READ item" : "WRITE item v" + count);
                    Record.line("answered vm=%s id=%s outcome=%s", vm.name, id, reply.outcome());
                    if (reply.outcome().startsWith("ERR INDOUBT")) {
                        IN_DOUBT.incrementAndGet();
                    }
                    Thread.sleep(reply.succeeded() ? 5 : 50);
                }
            } catch (IOException e) {
                Record.line("client vm=%s error=%s", vm.name, e.getMessage());
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(150);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Sent(Vm vm, long millis) {}
}
