package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A machine is removed for good and a new one comes at another address, while one tenant presses beyond its rate. */
final class RateWithNewMachine {

    private static final String DATABASE = "lepu270";
    private static final double RATE = 200;
    private static final double BURST = 40;
    private static final int WINDOW_MILLIS = 5_000;
    private static final double OVERSHOOT = 0.1;
    private static final int SLACK = 20;
    private static final int CLIENTS_PER_VM = 7;

    /** Period of a client's requests, milliseconds: all clients together send 7.5 times what the rate is meant for. */
    private static final long PERIOD_MILLIS = 45;

    private RateWithNewMachine() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, deployment -> run(deployment, System.getenv().getOrDefault("TENANT", "escola-2")));
    }

    private static boolean run(Deployment deployment, String hot) throws Exception {
        Record record = deployment.record;
        // Lists with allow_stale show what was there two seconds ago.
        deployment.store.staleMillis = 2_000;
        List<String> zones = List.of("recife", "fortaleza", "salvador");
        for (int i = 0; i < 3; i++) {
            DbGroup group = deployment.addGroup("certdb" + i, 0, 2, 34, 1);
            deployment.addRoute(DATABASE + i, "certdb" + i, "read_your_writes", 200, 800);
            for (int j = 0; j < 3; j++) {
                group.addServer("i-" + Integer.toHexString(0x7f3a91c2 + i * 64 + j), zones.get(j), i == j);
            }
        }
        for (int i = 1; i <= 8; i++) {
            deployment.addTenant("escola-" + i, RATE, BURST);
        }
        deployment.writeConfiguration();
        List<String> names = List.of("recife-1", "recife-2", "recife-3", "fortaleza-1", "salvador-1", "salvador-2");
        for (String name : names) {
            deployment.addVm("front-" + name, name.split("-")[0], true);
        }
        deployment.awaitReady(deployment.vms, 30_000);
        // Traffic starts 15 s after the machines do.
        Threads.sleep(15_000);
        Map<String, Long> sent = new ConcurrentHashMap<>();
        List<Vm> running = new java.util.concurrent.CopyOnWriteArrayList<>(deployment.vms);
        for (int i = 0; i < CLIENTS_PER_VM * names.size(); i++) {
            int number = i;
            Threads.start(() -> press(deployment, running, hot, number, sent));
        }
        Threads.sleep(10_000);
        if (deployment.trouble) {
            Vm removed = deployment.vms.get(2);
            running.remove(removed);
            removed.kill();
            record.note("%s is gone for good", removed.name);
            Threads.sleep(2_000);
            Vm added = deployment.addVm("front-recife-4", "recife", false);
            deployment.awaitReady(List.of(added), 20_000);
            running.add(added);
        }
        Threads.sleep(20_000);

        double allowed = (RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERSHOOT) + SLACK;
        List<DbGroup.Run> runs = new ArrayList<>();
        deployment.groups.values().forEach(group -> group.runs().stream()
                .filter(run -> run.tenant().equals(hot) && !run.text().startsWith("BEGIN"))
                .forEach(runs::add));
        int most = 0;
        long mostAt = 0;
        for (DbGroup.Run first : runs) {
            long from = Math.min(first.millis(), sent.getOrDefault(first.id(), first.millis()));
            int count = (int) runs.stream()
                    .filter(run -> sent.getOrDefault(run.id(), 0L) >= from
                            && run.millis() < from + WINDOW_MILLIS)
                    .map(DbGroup.Run::id)
                    .distinct()
                    .count();
            if (count > most) {
                most = count;
                mostAt = from;
            }
        }
        record.note("tenant %s: at most %d requests were sent and run within %d ms, from %d on; allowed are %.0f",
                hot, most, WINDOW_MILLIS, mostAt, allowed);
        return most <= allowed;
    }

    /** Sends operations, each in a session of its own at one of the machines that the balancer knows as ready. */
    private static void press(Deployment deployment, List<Vm> running, String tenant, int number, Map<String, Long> sent) {
        for (int turn = number; true; turn++) {
            Vm vm = running.get(turn % running.size());
            long start = deployment.record.millis();
            String id = Caller.newId();
            String end;
            try (Caller caller = new Caller(vm.front, DATABASE + turn % 3, "key-" + tenant)) {
                sent.put(id, deployment.record.millis());
                Caller.Answer answer = caller.query(id, "READ 1a4", 3_000);
                end = answer.end() + " " + answer.rest();
            } catch (IOException e) {
                end = "no session: " + e.getMessage();
            }
            deployment.record.addAt(start, "client sends %s to %s and is answered %s", id, vm.name, end);
            Threads.sleep(start + PERIOD_MILLIS - deployment.record.millis());
        }
    }
}
