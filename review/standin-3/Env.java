import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** The machines of a case: starts the project's processes with the command of the deploy file, and ends them. */
final class Env implements AutoCloseable {

    /** One machine. */
    static final class Vm {

        final String name;
        final String zone;
        final String ip;
        final int front;
        final int ready;
        Process process;

        private Vm(String name, String zone, String ip, int front, int ready) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.front = front;
            this.ready = ready;
        }

        boolean isReady() {
            try {
                HttpURLConnection call =
                        (HttpURLConnection) new URL("http://" + ip + ":" + ready + "/api/readyz").openConnection();
                call.setConnectTimeout(1_000);
                call.setReadTimeout(1_000);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    private static final int BROKEN = 10;
    private static final long START = System.nanoTime();

    private final Path temporary;
    private final BufferedWriter record;
    private final Store store;
    private final String zones;
    private final List<Vm> vms = new ArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private boolean closed;

    Env(Path recordFile, Store store, List<String> zones) throws IOException {
        this.temporary = Files.createTempDirectory("review-case");
        this.record = Files.newBufferedWriter(recordFile);
        this.store = store;
        StringBuilder text = new StringBuilder();
        zones.forEach(zone -> text.append("  ").append(zone).append(": \"region\"\n"));
        this.zones = text.toString();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    /** Runs a case and exits with its status: 0 held, 10 broken, anything else if it could not run. */
    static void run(Callable<Boolean> held) {
        int status = 2;
        try {
            status = held.call() ? 0 : BROKEN;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(status);
    }

    /** Returns the milliseconds since the start of the case. */
    static long elapsed() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    synchronized void note(String line) {
        if (closed) {
            return;
        }
        try {
            record.write(elapsed() + " " + line + "\n");
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds a machine, without its process. */
    Vm machine(String name, String zone, String ip) throws IOException {
        Vm vm = new Vm(name, zone, ip, freePort(ip), freePort(ip));
        String address = store.listen(name, "127.0.0.1");
        Files.writeString(settings(vm), String.join("\n",
                "node_name: \"" + name + "\"",
                "role: \"vm\"",
                "machine_class: \"front\"",
                "serves:",
                "  - \"front\"",
                "ip: \"" + ip + "\"",
                "zone: \"" + zone + "\"",
                "region: \"region\"",
                "zones:",
                zones + "listen:",
                "  front: \"" + ip + ":" + vm.front + "\"",
                "  ready: \"" + ip + ":" + vm.ready + "\"",
                "internal_ports:",
                "  - " + freePort(ip),
                "  - " + freePort(ip),
                "bootstrap: " + vms.isEmpty(),
                "limits:",
                "  cpu_share: 0.75",
                "  cores: 1",
                "  memory_mb: 430",
                "  max_fds: 4300",
                "bounds:",
                "  drain_ms: 7000",
                "  grace_s: 6",
                "  stable_window_ms: 4000",
                "  config_apply_ms: 3000",
                "  quota_window_s: 5",
                "  quota_overshoot: 0.1",
                "  quota_slack: 20",
                "  fencing_required: true",
                "platform:",
                "  address: \"" + address + "\"",
                "  form: \"objects\"",
                "  writes_per_s: 400",
                "  reads_per_s: 2000",
                "  history_s: 20",
                "  value_bytes: 1048576",
                "cloud_api:",
                "  address: \"" + address + "\"",
                "  duties:",
                "    - \"promotion\"",
                "  duty_per_s: 50.0",
                ""));
        vms.add(vm);
        return vm;
    }

    /** Starts the process of a machine. */
    void start(Vm vm) throws IOException {
        String command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("HYSSOPSWITCH_BOOT", settings(vm).toString());
        File log = temporary.resolve(vm.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        vm.process = builder.start();
        processes.add(vm.process);
        note("process started machine=" + vm.name);
    }

    /** Starts all machines, within 0.3 s of each other. */
    void startAll() throws IOException {
        for (Vm vm : vms) {
            start(vm);
            sleep(280 / vms.size());
        }
    }

    /** Stops a machine with SIGTERM and starts it again. */
    void restart(Vm vm) throws IOException, InterruptedException {
        note("SIGTERM machine=" + vm.name);
        vm.process.destroy();
        if (!vm.process.waitFor(7, TimeUnit.SECONDS)) {
            vm.process.destroyForcibly().waitFor();
        }
        start(vm);
    }

    /** Kills the process of a machine and starts it again after a short delay. */
    void killAndStart(Vm vm, long delayMillis) throws IOException, InterruptedException {
        note("SIGKILL machine=" + vm.name);
        vm.process.destroyForcibly().waitFor();
        sleep(delayMillis);
        start(vm);
    }

    void requireReady(Vm vm) {
        if (!awaitReady(vm, 20_000)) {
            throw new IllegalStateException("machine " + vm.name + " is not ready");
        }
    }

    private boolean awaitReady(Vm vm, long millis) {
        long until = elapsed() + millis;
        while (elapsed() < until) {
            if (vm.isReady()) {
                note("ready machine=" + vm.name);
                return true;
            }
            sleep(100);
        }
        note("not ready machine=" + vm.name);
        return false;
    }

    Path log(Vm vm) {
        return temporary.resolve(vm.name + ".log");
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (this) {
            closed = true;
            record.close();
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(temporary)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(temporary);
        } else {
            System.out.println("logs in " + temporary);
        }
    }

    /** Builds a configuration. */
    static Map<String, Object> configuration(
            long version, String service, long maxConnections, List<Map<String, Object>> routes, List<Object> tenants) {
        return configuration(version, service, maxConnections, 0, routes, tenants);
    }

    /** Builds a configuration of a service with synchronous replicas. */
    static Map<String, Object> configuration(
            long version,
            String service,
            long maxConnections,
            long syncReplicas,
            List<Map<String, Object>> routes,
            List<Object> tenants) {
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("version", version);
        spec.put("routes", routes);
        spec.put("services", List.of(new LinkedHashMap<>(Map.of(
                "name", service, "max_conns", maxConnections, "sync_replicas", syncReplicas))));
        spec.put("limits", Map.of("tx_idle_ms", 3_000L));
        spec.put("tenants", tenants);
        return spec;
    }

    static Map<String, Object> route(String name, String database, String type, String service, long targetMillis) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", database);
        route.put("path_prefix", "/");
        route.put("route_type", type);
        route.put("timeout_ms", 1_200L);
        route.put("target_latency_ms", targetMillis);
        route.put("priority", 1L);
        route.put("service", service);
        route.put("max_attempts", 2L);
        route.put("max_staleness_ms", 1_500L);
        route.put("public", false);
        return route;
    }

    static Map<String, Object> tenant(String name, String key, double ratePerSecond, double burst) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", name);
        tenant.put("api_keys", List.of(key));
        tenant.put("rate_per_s", ratePerSecond);
        tenant.put("burst", burst);
        return tenant;
    }

    private Path settings(Vm vm) {
        return temporary.resolve(vm.name + ".yaml");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }
}
