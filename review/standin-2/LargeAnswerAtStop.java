import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A machine is stopped as planned; a client that has a session on it reads an item with many rows. */
final class LargeAnswerAtStop {

    private static final int ROWS = 5;
    private static final int ROW_BYTES = 1_000_000;
    private static final long GRACE_MILLIS = 6_000;
    private static final long LOSS_SLACK_MILLIS = 200;

    private LargeAnswerAtStop() {}

    /** Runs the case and returns its exit status. */
    static int run(Deployment deployment, boolean trouble) throws Exception {
        Group group = deployment.addGroup(new Group("certdb", 0, 100, deployment.store, 300, 1, 5, 1));
        deployment.configure(
                List.of(Deployment.route("lookupdb", "primary", "certdb", 3_000, 300)),
                List.of(Deployment.tenant("school", 500, 500, "key-school")));
        group.registerAll();
        List<String> rows = Collections.nCopies(ROWS, "x".repeat(ROW_BYTES));
        Map<String, Boolean> passedOn = new ConcurrentHashMap<>();
        group.listen(new Group.Listener() {
            @Override
            public List<String> rows(String item) {
                return item.equals("history") ? rows : List.of();
            }

            @Override
            public void ran(Group.Server server, String tenant, String id, String text) {
                passedOn.put(id, true);
                Record.line("ran server=%s tenant=%s id=%s text=%s", server.id, tenant, id, text);
            }
        });
        deployment.startVms(3);
        Thread.sleep(5_000);
        int lost = 0;
        int small = 0;
        Vm vm = deployment.vms.get(0);
        for (String item : List.of("status", "history", "status")) {
            try (Client client = new Client(vm, "lookupdb", "key-school", 10_000)) {
                if (trouble && item.equals("history")) {
                    vm.terminate();
                    Thread.sleep(500);
                }
                String id = Client.newId();
                long sent = Record.now();
                Record.line("sent vm=%s id=%s text=READ %s", vm.name, id, item);
                try {
                    Client.Reply reply = client.query(id, "READ " + item);
                    Record.line("answered id=%s rows=%d outcome=%s", id, reply.rows().size(), reply.outcome());
                    small += reply.succeeded() && item.equals("status") ? 1 : 0;
                } catch (IOException e) {
                    long took = Record.now() - sent;
                    boolean counts = trouble
                            && item.equals("history")
                            && took < GRACE_MILLIS + 1_000
                            && (passedOn.containsKey(id) || took > LOSS_SLACK_MILLIS);
                    lost += counts ? 1 : 0;
                    Record.line(
                            "unanswered id=%s after_ms=%d passed_on=%s planned_stop=%s cause=%s broken=%s",
                            id, took, passedOn.containsKey(id), trouble, e, counts);
                }
            } catch (IOException e) {
                Record.line("no session vm=%s cause=%s", vm.name, e);
            }
        }
        Record.line("result requests_lost=%d", lost);
        System.out.printf("lost=%d small_answered=%d%n", lost, small);
        return small < 1 ? 2 : lost > 0 ? 1 : 0;
    }
}
