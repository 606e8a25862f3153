package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback: store, platform, services and the project's processes. */
final class Deployment {

    static final int GRACE_SECONDS = 6;

    /** Time after which a case gives up, milliseconds. */
    private static final long LIMIT_MILLIS = 112_000;

    private static final int PASSED = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    final Record record;
    final Store store;
    final Map<String, DbGroup> groups = new HashMap<>();
    final Cloud cloud;
    final List<Vm> vms = new ArrayList<>();
    final ObjectNode configuration = Store.MAPPER.createObjectNode();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder = Files.createTempDirectory("review");
    private long version = 7;

    /** A case; returns whether the rule held. */
    interface Case {
        boolean run(Deployment deployment) throws Exception;
    }

    private Deployment(Path caseFolder) throws IOException {
        record = new Record(caseFolder);
        store = new Store(record);
        cloud = new Cloud(record, groups);
        configuration.putArray("routes");
        configuration.putArray("services");
        configuration.putArray("tenants");
        configuration.putObject("limits").put("tx_idle_ms", 3_000);
    }

    /** Runs a case and ends the process with its result. */
    static void main(String[] args, Case body) throws IOException {
        Deployment deployment = new Deployment(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        Threads.start(() -> {
            Threads.sleep(LIMIT_MILLIS);
            deployment.record.note("time is over: the case could not run");
            System.exit(NOT_RUN);
        });
        int result;
        try {
            boolean held = body.run(deployment);
            deployment.record.note("result: the rule %s", held ? "held" : "was broken");
            result = held ? PASSED : BROKEN;
        } catch (Exception e) {
            deployment.record.note("the case could not run: %s", e);
            e.printStackTrace();
            result = NOT_RUN;
        }
        System.exit(result);
    }

    private void close() {
        vms.forEach(Vm::kill);
        record.flush();
        try (Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP_LOGS") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } else {
                System.out.println("logs are kept in " + folder);
            }
        } catch (IOException e) {
            System.err.println("temporary folder is left: " + e);
        }
    }

    DbGroup addGroup(String name, int syncReplicas, int slots, int maxConnections, long workMillis) {
        DbGroup group = new DbGroup(record, store, name, syncReplicas, slots, maxConnections, workMillis);
        groups.put(name, group);
        ((ArrayNode) configuration.path("services"))
                .addObject()
                .put("name", name)
                .put("max_conns", maxConnections)
                .put("sync_replicas", syncReplicas);
        return group;
    }

    void addRoute(String database, String service, String type, long objectiveMillis, long timeoutMillis) {
        ((ArrayNode) configuration.path("routes"))
                .addObject()
                .put("name", database)
                .put("host", database)
                .put("service", service)
                .put("route_type", type)
                .put("max_staleness_ms", type.equals("bounded") ? 1_500 : 2_500)
                .put("target_latency_ms", objectiveMillis)
                .put("timeout_ms", timeoutMillis)
                .put("priority", 1)
                .put("public", false);
    }

    /** Adds a client's tenant, whose only key is "key-" and its name. */
    void addTenant(String name, double ratePerSecond, double burst) {
        ((ArrayNode) configuration.path("tenants"))
                .addObject()
                .put("name", name)
                .put("rate_per_s", ratePerSecond)
                .put("burst", burst)
                .putArray("api_keys")
                .add("key-" + name);
    }

    void writeConfiguration() {
        version += 3;
        configuration.put("version", version);
        store.put("config", "main", configuration.deepCopy(), null);
        record.note("configuration %d is written", version);
    }

    Vm addVm(String name, String zone, boolean first) throws IOException {
        Vm vm = new Vm(record, folder, name, zone, store.address(), cloud.address(), first);
        vms.add(vm);
        vm.start();
        return vm;
    }

    /** Waits until processes are ready; fails if they are not in time. */
    void awaitReady(List<Vm> awaited, long timeoutMillis) {
        long until = record.millis() + timeoutMillis;
        while (!awaited.stream().allMatch(Vm::isReady)) {
            if (record.millis() > until) {
                throw new IllegalStateException("not all processes are ready");
            }
            Threads.sleep(100);
        }
        record.note("%d processes are ready", awaited.size());
    }
}
