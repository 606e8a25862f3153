package org.hyssopswitch.proxy.operations;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.hyssopswitch.core.failure.HyssopException;

/** Serves {@code /live}, {@code /ready}, {@code /status} and {@code /metrics} over HTTP. */
public final class OperationsServer implements AutoCloseable {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Starts the listener.
     *
     * @param host IP address
     * @param port TCP port; 0 for any free one
     * @param source what is reported
     * @param metrics the metrics
     * @throws HyssopException if the address cannot be used
     */
    public OperationsServer(String host, int port, OperationsSource source, MetricRegistry metrics) {
        listener = new NetworkListener("operations", host, port);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Health(source::live), "/live");
        server.getServerConfiguration().addHttpHandler(new Health(source::ready), "/ready");
        server.getServerConfiguration().addHttpHandler(new Document(source::status), "/status");
        server.getServerConfiguration().addHttpHandler(new Document(() -> MetricsReport.of(metrics)), "/metrics");
        try {
            server.start();
        } catch (IOException e) {
            throw new HyssopException("cannot listen for operations on " + host + ":" + port, e);
        }
    }

    /** The port that is listened on. */
    public int port() {
        return listener.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private static void write(Response response, int status, String type, byte[] body) throws IOException {
        response.setStatus(status);
        response.setContentType(type);
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    private static final class Health extends HttpHandler {

        private final Supplier<Boolean> good;

        Health(Supplier<Boolean> good) {
            this.good = good;
        }

        @Override
        public void service(Request request, Response response) throws IOException {
            boolean ok = good.get();
            byte[] body = (ok ? "ok\n" : "unavailable\n").getBytes(StandardCharsets.UTF_8);
            write(response, ok ? OK : UNAVAILABLE, "text/plain", body);
        }
    }

    private final class Document extends HttpHandler {

        private final Supplier<Map<String, Object>> content;

        Document(Supplier<Map<String, Object>> content) {
            this.content = content;
        }

        @Override
        public void service(Request request, Response response) throws IOException {
            write(response, OK, "application/json", json.writeValueAsBytes(content.get()));
        }
    }
}
