package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica leaves as planned; meanwhile the other replica receives nothing for a while and the primary crashes, in a
 * service with one synchronous replica.
 */
final class LostCommit {

    private static final String DATABASE = "lepu270";
    private static final int WRITERS = 4;

    private LostCommit() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, LostCommit::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        DbGroup group = deployment.addGroup("certdb0", 1, 2, 34, 3);
        deployment.addRoute(DATABASE, "certdb0", "primary", 100, 800);
        deployment.addTenant("escola", 200, 200);
        deployment.addTenant("agencia", 200, 200);
        deployment.writeConfiguration();
        DbGroup.Server primary = group.addServer("i-7f3a91c2", "recife", true);
        DbGroup.Server leaving = group.addServer("i-21d94b36", "fortaleza", false);
        DbGroup.Server deaf = group.addServer("i-c02e55aa", "salvador", false);
        for (String zone : List.of("recife", "fortaleza", "salvador")) {
            deployment.addVm("front-" + zone + "-1", zone, true);
        }
        deployment.awaitReady(deployment.vms, 20_000);
        List<String> acknowledged = java.util.Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < WRITERS; i++) {
            Vm vm = deployment.vms.get(i % deployment.vms.size());
            Threads.start(() -> write(record, vm, acknowledged));
        }
        Threads.sleep(6_000);

        leaving.drain();
        Threads.sleep(5_500);
        if (deployment.trouble) {
            deaf.setDeaf(true);
        }
        Threads.sleep(1_000);
        if (deployment.trouble) {
            primary.crash();
        }
        Threads.sleep(1_000);
        List<DbGroup.Entry> logOfLeaving = List.copyOf(leaving.log);
        leaving.leave();
        Threads.sleep(1_500);
        group.addSuccessor("i-5d0b77e1", leaving);
        Threads.sleep(6_000);

        DbGroup.Server promoted =
                group.servers.values().stream().filter(one -> one.promotedLog != null).findFirst().orElse(null);
        if (promoted == null) {
            record.note("no server was promoted; %d writes were acknowledged", acknowledged.size());
            return true;
        }
        var kept = ConcurrentHashMap.<String>newKeySet();
        promoted.promotedLog.forEach(entry -> kept.addAll(entry.writes()));
        List<String> before = logOfLeaving.stream().flatMap(entry -> entry.writes().stream()).toList();
        List<String> lost = List.copyOf(acknowledged).stream()
                .filter(id -> before.contains(id) && !kept.contains(id))
                .toList();
        record.note("%d writes were acknowledged; %d of them are not in the log of the promoted server %s: %s",
                acknowledged.size(), lost.size(), promoted.id, lost.stream().limit(5).toList());
        return lost.isEmpty();
    }

    private static void write(Record record, Vm vm, List<String> acknowledged) {
        while (true) {
            try (Caller caller = new Caller(vm.front, DATABASE, "key-escola")) {
                for (Caller.Answer answer = one(record, caller); !answer.end().equals("CLOSED"); answer = one(record, caller)) {
                    if (answer.succeeded()) {
                        acknowledged.add(answer.id());
                    }
                    Threads.sleep(40);
                }
            } catch (java.io.IOException e) {
                Threads.sleep(200);
            }
        }
    }

    private static Caller.Answer one(Record record, Caller caller) {
        String id = Caller.newId();
        record.add("client sends %s WRITE 1a4 x%s", id, id);
        Caller.Answer answer = caller.query(id, "WRITE 1a4 x" + id, 3_000);
        record.add("client is answered %s %s %s", id, answer.end(), answer.rest());
        return answer;
    }
}
