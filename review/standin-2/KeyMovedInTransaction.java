import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator moves a key to another tenant while a client that uses it has a transaction open. */
final class KeyMovedInTransaction {

    private static final long CONFIG_APPLY_MILLIS = 3_000;

    private KeyMovedInTransaction() {}

    /** Runs the case and returns its exit status. */
    static int run(Deployment deployment, boolean trouble) throws Exception {
        Group group = deployment.addGroup(new Group("certdb", 0, 100, deployment.store, 300, 1, 5, 1));
        List<java.util.Map<String, Object>> routes =
                List.of(Deployment.route("issuedb", "primary", "certdb", 800, 100));
        deployment.configure(
                routes,
                List.of(
                        Deployment.tenant("school-a", 100, 100, "key-moved", "key-a"),
                        Deployment.tenant("school-b", 100, 100, "key-b")));
        group.registerAll();
        deployment.startVms(3);
        AtomicInteger foreign = new AtomicInteger();
        String[] holder = {"school-a"};
        group.listen(new Group.Listener() {
            @Override
            public void ran(Group.Server server, String tenant, String id, String text) {
                boolean broken = !tenant.equals(holder[0]);
                if (broken) {
                    foreign.incrementAndGet();
                }
                Record.line(
                        "ran server=%s tenant=%s holder_of_key=%s id=%s text=%s broken=%s",
                        server.id, tenant, holder[0], id, text, broken);
            }
        });
        Thread.sleep(5_000);
        int answered = 0;
        for (Vm vm : deployment.vms) {
            holder[0] = "school-a";
            deployment.configure(
                    routes,
                    List.of(
                            Deployment.tenant("school-a", 100, 100, "key-moved", "key-a"),
                            Deployment.tenant("school-b", 100, 100, "key-b")));
            Thread.sleep(CONFIG_APPLY_MILLIS + 200);
            try (Client client = new Client(vm, "issuedb", "key-moved", 4_000)) {
                for (String text : List.of("BEGIN", "WRITE item first")) {
                    log(vm, text, client.query(Client.newId(), text));
                }
                if (trouble) {
                    deployment.configure(
                            routes,
                            List.of(
                                    Deployment.tenant("school-a", 100, 100, "key-a"),
                                    Deployment.tenant("school-b", 100, 100, "key-b", "key-moved")));
                }
                // The client goes on with its transaction, so that it is never idle for tx_idle_ms.
                for (int i = 0; i < 3; i++) {
                    Thread.sleep((CONFIG_APPLY_MILLIS + 300) / 3);
                    if (i < 2) {
                        log(vm, "READ pause", client.query(Client.newId(), "READ pause"));
                    }
                }
                holder[0] = trouble ? "school-b" : "school-a";
                for (String text : List.of("READ other", "WRITE item second", "COMMIT")) {
                    log(vm, text, client.query(Client.newId(), text));
                    answered++;
                }
            }
        }
        Record.line("result statements_run_for_a_tenant_that_does_not_hold_the_key=%d", foreign.get());
        System.out.printf("foreign=%d%n", foreign.get());
        return answered < 9 ? 2 : foreign.get() > 0 ? 1 : 0;
    }

    private static void log(Vm vm, String text, Client.Reply reply) {
        Record.line("answered vm=%s text=%s rows=%s outcome=%s", vm.name, text, reply.rows(), reply.outcome());
    }
}
