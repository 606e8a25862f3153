import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback: the platform, database groups and processes of the product. */
final class Deployment {

    static final List<String> ZONES = List.of("recife", "fortaleza", "salvador");

    final Store store = new Store("127.0.0.1");
    final List<Group> groups = new ArrayList<>();
    final Cloud cloud = new Cloud("127.0.0.1", groups);
    final List<Vm> vms = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private long version = 7;
    private int[] ports;

    Deployment(Path root) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("hyssopswitch-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Adds a group of three servers, one in each zone. */
    Group addGroup(Group group) throws IOException {
        for (int i = 0; i < ZONES.size(); i++) {
            group.add("i-" + group.name + "-" + (char) ('a' + i), ZONES.get(i));
        }
        groups.add(group);
        return group;
    }

    /** Writes the next version of the configuration, as the operator does, and returns when it is acknowledged. */
    void configure(List<Map<String, Object>> routes, List<Map<String, Object>> tenants) {
        version += 3;
        List<Object> services = new ArrayList<>();
        groups.forEach(group -> services.add(Json.map(
                "name",
                group.name,
                "health_path",
                "/healthz",
                "max_conns",
                group.maxConnections,
                "protocol",
                "h1",
                "tls",
                false,
                "sync_replicas",
                group.sync)));
        store.put(
                "config",
                "main",
                Json.map(
                        "version",
                        version,
                        "routes",
                        routes,
                        "services",
                        services,
                        "limits",
                        Json.map("tx_idle_ms", 3_000),
                        "tenants",
                        tenants),
                Json.map());
        Record.line("configuration version=%d acknowledged", version);
    }

    static Map<String, Object> route(String database, String type, String service, long timeoutMillis, long aimMillis) {
        Map<String, Object> route = Json.map(
                "name",
                "r-" + database,
                "host",
                database,
                "path_prefix",
                "/",
                "route_type",
                type,
                "timeout_ms",
                timeoutMillis,
                "target_latency_ms",
                aimMillis,
                "priority",
                1,
                "service",
                service,
                "max_attempts",
                2,
                "public",
                false);
        if (!type.equals("primary")) {
            route.put("max_staleness_ms", 2_500);
        }
        return route;
    }

    static Map<String, Object> tenant(String name, double rate, double burst, String... keys) {
        return Json.map(
                "name", name, "api_keys", List.of((Object[]) keys), "priority", 1, "rate_per_s", rate, "burst", burst);
    }

    /** Starts processes, spread over the zones, and waits until all are ready. */
    void startVms(int count) throws IOException, InterruptedException {
        ports = freePorts();
        for (int i = 0; i < count; i++) {
            addVm();
        }
        for (Vm vm : vms) {
            vm.awaitReady(30_000);
        }
    }

    /** Starts one more process, in the next zone in turn. */
    Vm addVm() throws IOException {
        int i = vms.size();
        String zone = ZONES.get(i % ZONES.size());
        Vm vm = new Vm(
                root,
                folder,
                "front-" + zone + "-" + (i / ZONES.size() + 1),
                zone,
                "127.0.0." + (20 + i),
                ports,
                store.address(),
                cloud.address());
        vms.add(vm);
        vm.start();
        return vm;
    }

    void endVms() {
        vms.forEach(Vm::kill);
        for (Vm vm : vms) {
            try {
                vm.awaitEnd();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Ends all processes and removes the temporary folder. */
    synchronized void close() {
        endVms();
        try (Stream<Path> files = Files.exists(folder) ? Files.list(folder) : Stream.empty()) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            Record.line("the folder %s remains: %s", folder, e.getMessage());
        }
    }

    private static int[] freePorts() throws IOException {
        int[] ports = new int[3];
        List<ServerSocket> taken = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.20"));
            ports[i] = socket.getLocalPort();
            taken.add(socket);
        }
        for (ServerSocket socket : taken) {
            socket.close();
        }
        return ports;
    }
}
