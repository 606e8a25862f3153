import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A primary with synchronous replication is cut off from two of five machines, several times, while clients write. */
final class LostUnderPartialCut {

    private static final int VMS = 5;
    private static final int CUT_VMS = 2;
    private static final int WRITERS_PER_VM = 3;
    private static final int ROUNDS = 12;
    private static final long CUT_MILLIS = 3_000;
    private static final long CALM_MILLIS = 3_000;

    private static volatile Group.Server cut;
    private static volatile boolean ended;

    private LostUnderPartialCut() {}

    /** Runs the case and returns its exit status. */
    static int run(Deployment deployment, boolean trouble) throws Exception {
        // Replicas receive a commit after 1 to 60 ms; a promotion takes effect after 300 ms.
        Group group = deployment.addGroup(
                new Group("certdb", 1, 200, deployment.store, 300, 1, 60, System.nanoTime()));
        deployment.configure(
                List.of(Deployment.route("issuedb", "primary", "certdb", 1_500, 300)),
                List.of(Deployment.tenant("school", 5_000, 5_000, "key-school")));
        group.registerAll();
        Set<String> seenByClients = ConcurrentHashMap.newKeySet();
        List<Set<String>> lost = new ArrayList<>();
        AtomicInteger promotions = new AtomicInteger();
        Map<Integer, Boolean> cutPorts = new ConcurrentHashMap<>();
        group.listen(new Group.Listener() {
            @Override
            public void promoted(Group.Server from, Group.Server to) {
                Set<String> missing = new TreeSet<>(group.acknowledged);
                missing.removeAll(new HashSet<>(to.log));
                lost.add(missing);
                promotions.incrementAndGet();
                Record.line(
                        "promoted from=%s to=%s log_old=%d log_new=%d acknowledged=%d acknowledged_missing=%s",
                        from == null ? "none" : from.id,
                        to.id,
                        from == null ? -1 : from.log.size(),
                        to.log.size(),
                        group.acknowledged.size(),
                        missing);
            }

            @Override
            public void ran(Group.Server server, String tenant, String id, String text) {
                Record.line("ran server=%s tenant=%s id=%s text=%s", server.id, tenant, id, text);
            }

            @Override
            public boolean isCut(Group.Server server, Group.Peer peer) {
                return cut == server
                        && cutPorts.computeIfAbsent(peer.port(), port -> deployment.vms.stream()
                                .limit(CUT_VMS)
                                .anyMatch(vm -> vm.owns(port, server.port())));
            }
        });
        deployment.startVms(VMS);
        List<Thread> writers = new ArrayList<>();
        for (Vm vm : deployment.vms) {
            for (int i = 0; i < WRITERS_PER_VM; i++) {
                Thread writer = new Thread(() -> write(vm, seenByClients), "writer");
                writer.setDaemon(true);
                writer.start();
                writers.add(writer);
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(CALM_MILLIS);
            if (trouble) {
                cutPorts.clear();
                cut = group.primary();
                Record.line(
                        "cut primary=%s from=%s",
                        cut.id,
                        deployment.vms.stream().limit(CUT_VMS).map(vm -> vm.name).toList());
            }
            Thread.sleep(CUT_MILLIS);
            cut = null;
            Record.line("cut healed");
        }
        Thread.sleep(CALM_MILLIS);
        ended = true;
        for (Thread writer : writers) {
            writer.join(3_000);
        }
        Set<String> missing = new TreeSet<>();
        lost.forEach(missing::addAll);
        missing.retainAll(seenByClients);
        Record.line(
                "result promotions=%d writes_acknowledged_to_clients=%d of_these_lost=%d %s",
                promotions.get(), seenByClients.size(), missing.size(), missing);
        System.out.printf(
                "promotions=%d acknowledged=%d lost=%d%n", promotions.get(), seenByClients.size(), missing.size());
        if (seenByClients.size() < 100 || (trouble && promotions.get() == 0)) {
            return 2;
        }
        return missing.isEmpty() ? 0 : 1;
    }

    private static void write(Vm vm, Set<String> seen) {
        int count = 0;
        while (!ended) {
            try (Client client = new Client(vm, "issuedb", "key-school", 4_000)) {
                while (!ended) {
                    String id = Client.newId();
                    Client.Reply reply = client.query(id, "WRITE " + Thread.currentThread().getId() + " v" + count++);
                    if (reply.succeeded()) {
                        seen.add(id);
                    }
                    Record.line("answered vm=%s id=%s outcome=%s", vm.name, id, reply.outcome());
                    Thread.sleep(reply.succeeded() ? 15 : 100);
                }
            } catch (IOException e) {
                Record.line("client vm=%s error=%s", vm.name, e.getMessage());
                pause(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
