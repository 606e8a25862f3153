import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's promotions, with fences checked for each service. */
final class Cloud {

    private final HttpServer http;
    private final List<Group> groups;
    private final Map<String, Long> tokens = new HashMap<>();
    private volatile boolean down;

    Cloud(String host, List<Group> groups) throws IOException {
        this.groups = groups;
        http = HttpServer.create(new InetSocketAddress(host, 0), 100);
        http.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "cloud");
            thread.setDaemon(true);
            return thread;
        }));
        http.createContext("/promote", this::promote);
        http.start();
    }

    String address() {
        return http.getAddress().getHostString() + ":" + http.getAddress().getPort();
    }

    /** Has all calls answered with 503, nothing done, from now on. */
    void setDown(boolean isDown) {
        down = isDown;
        Record.line("promotions down=%s", isDown);
    }

    private void promote(HttpExchange exchange) throws IOException {
        Map<String, Object> order =
                Json.object(Json.parse(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)));
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
        int status = down ? 503 : decide(order, token);
        Record.line(
                "promote %s by %s token=%d answer=%d",
                order, exchange.getRequestHeaders().getFirst("X-Duty-Holder"), token, status);
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized int decide(Map<String, Object> order, long token) {
        String service = (String) order.get("service");
        if (token < tokens.getOrDefault(service, 0L)) {
            return 409;
        }
        tokens.put(service, token);
        for (Group group : groups) {
            for (Group.Server server : group.servers) {
                if (group.name.equals(service) && server.id.equals(order.get("id"))) {
                    group.promote(server);
                    return 200;
                }
            }
        }
        return 409;
    }
}
