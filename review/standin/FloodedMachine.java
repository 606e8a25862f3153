package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A few clients flood a machine with requests for some seconds, while other clients use it. */
final class FloodedMachine {

    private static final String DATABASE = "lepu270";
    private static final int CLIENTS = 12;
    private static final int RUDE_CLIENTS = 4;
    private static final int BATCH = 100;
    private static final long RUDE_MILLIS = 10_000;

    private FloodedMachine() {}

    private record Sent(Vm vm, long millis, boolean served) {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, FloodedMachine::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        List<String> zones = List.of("recife", "fortaleza", "salvador");
        DbGroup group = deployment.addGroup("certdb0", 0, 2, 34, 3);
        deployment.addRoute(DATABASE, "certdb0", "read_your_writes", 200, 800);
        deployment.addTenant("escola", 500, 500);
        deployment.addTenant("agencia", 50, 50);
        deployment.writeConfiguration();
        for (int i = 0; i < 3; i++) {
            group.addServer("i-7f3a91c" + i, zones.get(i), i == 0);
        }
        for (String zone : zones) {
            deployment.addVm("front-" + zone + "-1", zone, true);
        }
        deployment.awaitReady(deployment.vms, 20_000);
        List<Sent> log = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < CLIENTS; i++) {
            Vm vm = deployment.vms.get(i % deployment.vms.size());
            Threads.start(() -> use(deployment, vm, log));
        }
        Threads.sleep(5_000);
        Vm hit = deployment.vms.get(0);
        long start = record.millis();
        AtomicLong sent = new AtomicLong();
        for (int i = 0; deployment.trouble && i < RUDE_CLIENTS; i++) {
            Threads.start(() -> flood(record, hit, start + RUDE_MILLIS, sent));
        }
        long end = start + RUDE_MILLIS;
        while (record.millis() < end + 35_000) {
            Threads.sleep(5_000);
            record.note("%s: ready %s; the last 5 s served %.2f; rude clients have sent %d requests",
                    hit.name, hit.isReady(), share(log, hit, record.millis() - 7_000, record.millis() - 2_000), sent.get());
        }
        double before = share(log, hit, start - 3_000, start);
        double after = share(log, hit, end + 12_000, end + 32_000);
        record.note("%s runs: %s; served %.2f before, %.2f later than 12 s after the flood",
                hit.name, hit.isRunning(), before, after);
        return before < 0.5 || (hit.isRunning() && after >= 0.1);
    }

    private static double share(List<Sent> log, Vm vm, long from, long to) {
        List<Sent> within = List.copyOf(log).stream()
                .filter(one -> one.vm() == vm && one.millis() >= from && one.millis() < to)
                .toList();
        return within.stream().filter(Sent::served).count() / (double) Math.max(1, within.size());
    }

    /** Sends requests until the end of the flood; a session that is ended before is opened again. */
    private static void flood(Record record, Vm vm, long until, AtomicLong sent) {
        while (record.millis() < until) {
            sendRequests(record, vm, until, sent);
            Threads.sleep(100);
        }
    }

    private static void sendRequests(Record record, Vm vm, long until, AtomicLong sent) {
        try (Socket socket = new Socket()) {
            Threads.start(() -> closeAt(record, socket, until));
            socket.connect(new InetSocketAddress("127.0.0.1", vm.front));
            OutputStream out = socket.getOutputStream();
            out.write(("START " + DATABASE + " key-agencia\r\n").getBytes(StandardCharsets.US_ASCII));
            record.add("a rude client sends SET as fast as its connection takes it");
            Threads.start(() -> discardAnswers(socket));
            byte[] requests = "QUERY 5c SET a b\r\n".repeat(BATCH).getBytes(StandardCharsets.US_ASCII);
            while (record.millis() < until) {
                out.write(requests);
                sent.addAndGet(BATCH);
            }
        } catch (IOException e) {
            record.note("a rude client has ended: %s", e.getMessage());
        }
    }

    /** Reads the answers, so that the machine can send them. */
    private static void discardAnswers(Socket socket) {
        byte[] answers = new byte[1 << 16];
        try {
            while (socket.getInputStream().read(answers) >= 0) {
                // Only the reading matters.
            }
        } catch (IOException e) {
            // The session has ended.
        }
    }

    private static void closeAt(Record record, Socket socket, long millis) {
        Threads.sleep(millis - record.millis());
        try {
            socket.close();
        } catch (IOException e) {
            record.note("a rude client does not close: %s", e.getMessage());
        }
    }

    private static void use(Deployment deployment, Vm vm, List<Sent> log) {
        Record record = deployment.record;
        while (true) {
            long start = record.millis();
            try (Caller caller = new Caller(vm.front, DATABASE, "key-escola")) {
                for (int i = 0; i < 40; i++) {
                    start = record.millis();
                    Caller.Answer answer = caller.query("READ 1a4", 2_000);
                    record.addAt(start, "client sends %s to %s and is answered %s %s", answer.id(), vm.name,
                            answer.end(), answer.rest());
                    log.add(new Sent(vm, start, answer.succeeded()));
                    if (answer.end().equals("CLOSED") || answer.end().equals("SILENT")) {
                        break;
                    }
                    Threads.sleep(50);
                }
            } catch (IOException e) {
                record.addAt(start, "client cannot start a session at %s: %s", vm.name, e.getMessage());
                log.add(new Sent(vm, start, false));
                Threads.sleep(100);
            }
        }
    }
}
