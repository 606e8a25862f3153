package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's API for promotions; it checks fencing tokens for each service. */
final class Cloud {

    private final Record record;
    private final Map<String, DbGroup> groups;
    private final Map<String, Long> tokens = new HashMap<>();
    private final HttpServer server;

    Cloud(Record record, Map<String, DbGroup> groups) throws IOException {
        this.record = record;
        this.groups = groups;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.createContext("/promote", this::promote);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private synchronized void promote(HttpExchange exchange) throws IOException {
        JsonNode body = Store.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
        String service = body.path("service").asText();
        int status = 409;
        if (token >= tokens.getOrDefault(service, 0L)) {
            tokens.put(service, token);
            status = groups.get(service).promote(body.path("id").asText()) ? 200 : 409;
        }
        record.note(
                "platform: %s orders to promote %s of %s with token %d: %d",
                exchange.getRequestHeaders().getFirst("X-Duty-Holder"),
                body.path("id").asText(),
                service,
                token,
                status);
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }
}
