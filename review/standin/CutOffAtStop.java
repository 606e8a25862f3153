package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A machine gets SIGTERM while clients keep using their open sessions. */
final class CutOffAtStop {

    private static final String DATABASE = "huvo11a";
    private static final int SESSIONS = 40;
    private static final int READS_PER_TRANSACTION = 6;
    private static final long WORK_MILLIS = 30;
    private static final long TIMEOUT_MILLIS = 2_000;

    /** Time between an answer and the client's next request, milliseconds: the way to the client and back. */
    private static final long CLIENT_PAUSE_MILLIS = 2;

    /** Requests sent later than this after SIGTERM must not be cut off by the end of the process. */
    private static final long LATE_MILLIS = 3_000;

    private CutOffAtStop() {}

    private record Sent(Vm vm, long sentMillis, long endMillis, String id, String end) {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, CutOffAtStop::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        List<String> zones = List.of("recife", "fortaleza", "salvador");
        DbGroup group = deployment.addGroup("certdb0", 0, 3, 47, WORK_MILLIS);
        deployment.addRoute(DATABASE, "certdb0", "bounded", 500, TIMEOUT_MILLIS);
        deployment.addTenant("escola", 2_000, 2_000);
        deployment.addTenant("agencia", 2_000, 2_000);
        deployment.writeConfiguration();
        for (int i = 0; i < 3; i++) {
            group.addServer("i-7f3a91c" + i, zones.get(i), i == 0);
        }
        for (String zone : zones) {
            deployment.addVm("front-" + zone + "-1", zone, true);
        }
        deployment.awaitReady(deployment.vms, 20_000);
        Vm stopped = deployment.vms.get(0);
        List<Sent> log = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < SESSIONS; i++) {
            Threads.start(() -> useSessions(deployment, stopped, log));
        }
        Threads.sleep(8_000);
        long signal = record.millis();
        if (deployment.trouble) {
            stopped.terminate();
        }
        while (stopped.isRunning() && record.millis() < signal + Deployment.GRACE_SECONDS * 1_000L) {
            Threads.sleep(10);
        }
        if (deployment.trouble) {
            record.note("%s %s", stopped.name, stopped.isRunning() ? "is killed after the grace period" : "has ended");
            stopped.kill();
        }
        Threads.sleep(2_000);

        Map<String, DbGroup.Run> runs = group.runs().stream()
                .collect(Collectors.toMap(DbGroup.Run::id, Function.identity(), (first, second) -> first));
        List<Sent> lost = List.copyOf(log).stream()
                .filter(one -> one.vm() == stopped && one.end().equals("CLOSED") && runs.containsKey(one.id()))
                .filter(one -> one.sentMillis() > signal + LATE_MILLIS)
                .filter(one -> one.endMillis() <= signal + (Deployment.GRACE_SECONDS + 1) * 1_000L)
                .filter(one -> one.endMillis() - one.sentMillis() < TIMEOUT_MILLIS)
                .toList();
        lost.forEach(one -> record.note(
                "request %s: sent %d ms after SIGTERM, reached server %s after %d ms, cut off after %d ms",
                one.id(),
                one.sentMillis() - signal,
                runs.get(one.id()).server(),
                runs.get(one.id()).millis() - signal,
                one.endMillis() - signal));
        record.note("%d requests were sent, %d of them were passed on to a server and cut off without an answer",
                log.size(), lost.size());
        return lost.isEmpty();
    }

    /** Uses a session until it ends, and opens the next one at a machine that is ready, as the balancer does. */
    private static void useSessions(Deployment deployment, Vm first, List<Sent> log) {
        Vm vm = first;
        while (true) {
            try (Caller caller = new Caller(vm.front, DATABASE, "key-escola")) {
                String end = "";
                for (int i = 0; !end.equals("CLOSED"); i++) {
                    int step = i % (READS_PER_TRANSACTION + 2);
                    String text = step == 0 ? "BEGIN READ" : step <= READS_PER_TRANSACTION ? "READ 1a4" : "COMMIT";
                    String id = Caller.newId();
                    long sent = deployment.record.millis();
                    deployment.record.add("client sends %s to %s: %s", id, vm.name, text);
                    Caller.Answer answer = caller.query(id, text, 10_000);
                    end = answer.end();
                    deployment.record.add("client is answered %s %s %s", id, end, answer.rest());
                    log.add(new Sent(vm, sent, deployment.record.millis(), id, end));
                    if (end.equals("ERR") && step > 0 && step <= READS_PER_TRANSACTION) {
                        // The transaction has failed; it is ended, and the operation is repeated.
                        end = caller.query("ROLLBACK", 10_000).end();
                        i = -1;
                    }
                    Threads.sleep(CLIENT_PAUSE_MILLIS);
                }
            } catch (IOException e) {
                Threads.sleep(100);
            }
            if (!vm.isReady()) {
                vm = deployment.vms.stream().filter(Vm::isReady).findAny().orElse(vm);
            }
        }
    }
}
