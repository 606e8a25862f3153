package org.hyssopswitch.standin.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.hyssopswitch.core.failure.HyssopException;

/**
 * A control listener on the loopback address.
 *
 * <p>{@code GET /status} answers the state; {@code POST /<operation>?name=value} runs an operation. Answers are JSON:
 * status 200, 400 with the reason, or 404.
 */
public final class ControlServer implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, ControlOperation> operations;
    private final NetworkListener listener;
    private final HttpServer server = new HttpServer();

    ControlServer(int port, Map<String, ControlOperation> operations) {
        this.operations = Map.copyOf(operations);
        this.listener = new NetworkListener("control", HOST, port);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Handler(), "/");
    }

    /** Binds the port. */
    public void start() {
        try {
            server.start();
        } catch (IOException e) {
            throw new HyssopException("the control listener cannot bind port " + listener.getPort(), e);
        }
    }

    /** The port that is bound. */
    public int port() {
        return listener.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private final class Handler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws IOException {
            String name = request.getMethod().getMethodString() + " " + request.getRequestURI();
            Optional<ControlOperation> operation = Optional.ofNullable(operations.get(name));
            Object answer = Map.of("error", "no operation " + name);
            if (operation.isEmpty()) {
                response.setStatus(NOT_FOUND);
            } else {
                answer = run(operation.get(), request, response);
            }
            response.setContentType("application/json");
            response.getOutputStream().write(mapper.writeValueAsBytes(answer));
        }

        private static Object run(ControlOperation operation, Request request, Response response) {
            try {
                return operation.run(new ControlParameters(request::getParameter));
            } catch (HyssopException | IllegalArgumentException e) {
                response.setStatus(BAD_REQUEST);
                return Map.of("error", String.valueOf(e.getMessage()));
            }
        }
    }
}
