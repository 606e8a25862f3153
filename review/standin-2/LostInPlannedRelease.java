import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The primaries of services with synchronous replication are to be replaced, one after the other, under load. */
final class LostInPlannedRelease {

    private static final int VMS = 3;
    private static final int GROUPS = 8;
    private static final int WRITERS_PER_GROUP = 8;
    private static final long LEADER_SETTLES_MILLIS = 12_000;
    private static final long DRAIN_MILLIS = 7_000;
    private static final long LINGER_MILLIS = 3_000;

    private static volatile boolean ended;

    private LostInPlannedRelease() {}

    /** Runs the case and returns its exit status. */
    static int run(Deployment deployment, boolean trouble) throws Exception {
        List<Map<String, Object>> routes = new ArrayList<>();
        for (int i = 1; i <= GROUPS; i++) {
            // Replicas receive a commit after 1 to 60 ms; a promotion takes effect after 300 ms.
            deployment.addGroup(new Group("certdb" + i, 1, 100, deployment.store, 300, 1, 60, System.nanoTime()));
            routes.add(Deployment.route("issuedb" + i, "primary", "certdb" + i, 1_500, 300));
        }
        deployment.configure(routes, List.of(Deployment.tenant("school", 5_000, 5_000, "key-school")));
        deployment.groups.forEach(Group::registerAll);
        Set<String> seenByClients = ConcurrentHashMap.newKeySet();
        Set<String> missing = ConcurrentHashMap.newKeySet();
        AtomicInteger promotions = new AtomicInteger();
        for (Group group : deployment.groups) {
            group.listen(new Group.Listener() {
                @Override
                public void promoted(Group.Server from, Group.Server to) {
                    Set<String> lost = new TreeSet<>(group.acknowledged);
                    lost.removeAll(new HashSet<>(to.log));
                    missing.addAll(lost);
                    promotions.incrementAndGet();
                    Record.line(
                            "promoted from=%s to=%s log_new=%d acknowledged=%d acknowledged_missing=%s",
                            from == null ? "none" : from.id, to.id, to.log.size(), group.acknowledged.size(), lost);
                }

                @Override
                public void ran(Group.Server server, String tenant, String id, String text) {
                    Record.line("ran server=%s tenant=%s id=%s text=%s", server.id, tenant, id, text);
                }
            });
        }
        deployment.startVms(VMS);
        Vm leader = awaitLeader(deployment);
        Record.line("vm %s holds the duty; no client is connected to it", leader.name);
        List<Vm> entries = deployment.vms.stream().filter(vm -> vm != leader).toList();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < GROUPS * WRITERS_PER_GROUP; i++) {
            Vm vm = entries.get(i % entries.size());
            String database = "issuedb" + (1 + i / WRITERS_PER_GROUP);
            Thread writer = new Thread(() -> write(vm, database, seenByClients), "writer");
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
        Thread.sleep(5_000);
        for (Group group : deployment.groups) {
            if (trouble) {
                group.primary().drain(DRAIN_MILLIS + LINGER_MILLIS);
            }
            Thread.sleep(2_500);
        }
        Thread.sleep(2_000);
        ended = true;
        for (Thread writer : writers) {
            writer.join(3_000);
        }
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

    /** Returns the process that has taken the duty last; by then all of them know each other. */
    private static Vm awaitLeader(Deployment deployment) throws IOException, InterruptedException {
        Thread.sleep(LEADER_SETTLES_MILLIS);
        Vm leader = null;
        long latest = -1;
        for (Vm vm : deployment.vms) {
            for (String line : vm.logLines("event=duty_taken")) {
                long epoch = Long.parseLong(line.replaceAll(".* epoch=([0-9]+) .*", "$1"));
                leader = epoch > latest ? vm : leader;
                latest = Math.max(epoch, latest);
            }
        }
        if (leader == null) {
            throw new IllegalStateException("no process has taken the duty");
        }
        return leader;
    }

    private static void write(Vm vm, String database, Set<String> seen) {
        int count = 0;
        while (!ended) {
            try (Client client = new Client(vm, database, "key-school", 4_000)) {
                while (!ended) {
                    String id = Client.newId();
                    Client.Reply reply = client.query(id, "WRITE " + Thread.currentThread().getId() + " v" + count++);
                    if (reply.succeeded()) {
                        seen.add(id);
                    }
                    Record.line("answered vm=%s id=%s outcome=%s", vm.name, id, reply.outcome());
                    Thread.sleep(reply.succeeded() ? 10 : 100);
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
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
