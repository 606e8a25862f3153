package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** An entry of another writer stands among the servers when all processes are killed and start again. */
final class ForeignEntry {

    private static final String DATABASE = "lepu270";
    private static final int SESSIONS = 12;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int DIGITS = 1_100;

    private ForeignEntry() {}

    private record Sent(long millis, boolean served) {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, ForeignEntry::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        List<String> zones = List.of("recife", "fortaleza", "salvador");
        DbGroup group = deployment.addGroup("certdb0", 0, 2, 34, 3);
        deployment.addRoute(DATABASE, "certdb0", "read_your_writes", 200, 800);
        deployment.addTenant("escola", 500, 500);
        deployment.writeConfiguration();
        for (int i = 0; i < 3; i++) {
            group.addServer("i-7f3a91c" + i, zones.get(i), i == 0);
        }
        for (String zone : zones) {
            deployment.addVm("front-" + zone + "-1", zone, true);
        }
        deployment.awaitReady(deployment.vms, 20_000);
        List<Sent> log = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < SESSIONS; i++) {
            Vm vm = deployment.vms.get(i % deployment.vms.size());
            Threads.start(() -> use(deployment, vm, log));
        }
        Threads.sleep(6_000);
        if (deployment.trouble) {
            ObjectNode entry = group.primary().spec().put("address", "127.0.0.1:1");
            String variant = System.getenv().getOrDefault("VARIANT", "bytes");
            switch (variant) {
                case "bytes" -> entry.put("zone", Store.UNREADABLE);
                case "number" -> entry.put("slots", BigInteger.TEN.pow(DIGITS));
                default -> throw new IllegalArgumentException(variant);
            }
            deployment.store.put("servers", "x-0419", entry, null);
            record.note("another writer has written the entry x-0419 (%s)", variant);
        }
        Threads.sleep(6_000);
        long fault = record.millis();
        deployment.vms.forEach(Vm::kill);
        record.note("all processes were killed");
        Threads.sleep(1_200);
        for (Vm vm : deployment.vms) {
            vm.start();
        }
        long back = record.millis();
        Threads.sleep(RECOVERY_MILLIS + 10_000);

        double before = share(log, fault - 5_000, fault - 500);
        double after = share(log, back + RECOVERY_MILLIS, Long.MAX_VALUE);
        record.note("served: %.2f before the final fault, %.2f later than %d ms after the machines are back",
                before, after, RECOVERY_MILLIS);
        return before < 0.25 || after >= 0.25;
    }

    private static double share(List<Sent> log, long from, long to) {
        List<Sent> within = List.copyOf(log).stream()
                .filter(one -> one.millis() >= from && one.millis() < to)
                .toList();
        return within.stream().filter(Sent::served).count() / (double) Math.max(1, within.size());
    }

    private static void use(Deployment deployment, Vm vm, List<Sent> log) {
        Record record = deployment.record;
        while (true) {
            long start = record.millis();
            try (Caller caller = new Caller(vm.front, DATABASE, "key-escola")) {
                for (int i = 0; i < 40; i++) {
                    start = record.millis();
                    Caller.Answer answer = caller.query("READ 1a4", 3_000);
                    record.addAt(start, "client sends %s to %s and is answered %s %s", answer.id(), vm.name,
                            answer.end(), answer.rest());
                    log.add(new Sent(start, answer.succeeded()));
                    if (answer.end().equals("CLOSED") || answer.end().equals("SILENT")) {
                        break;
                    }
                    Threads.sleep(50);
                }
            } catch (IOException e) {
                record.addAt(start, "client cannot start a session at %s: %s", vm.name, e.getMessage());
                log.add(new Sent(start, false));
                Threads.sleep(100);
            }
        }
    }
}
