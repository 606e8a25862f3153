package org.hyssopswitch.standin.group;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.hyssopswitch.core.failure.HyssopException;

/** The listener of one endpoint. Sessions are handed to the group's thread. */
final class EndpointServer {

    private static final String SESSION = "session";
    private static final int BIND_ATTEMPTS = 100;
    private static final long BIND_PAUSE_NANOS = 10_000_000;

    private final EndpointRuntime runtime;
    private final TCPNIOTransport transport;
    private Optional<TCPNIOServerConnection> listener = Optional.empty();
    private int port;

    /**
     * Creates a server.
     *
     * @param port TCP port; 0 for an ephemeral one
     */
    EndpointServer(EndpointRuntime runtime, int port) {
        this.runtime = runtime;
        this.port = port;
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(new SessionFilter());
        this.transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setSelectorRunnersCount(1)
                .setProcessor(chain.build())
                .build();
    }

    /** The port that is or was bound. */
    synchronized int port() {
        return port;
    }

    EndpointRuntime runtime() {
        return runtime;
    }

    void start() {
        try {
            transport.start();
        } catch (IOException e) {
            throw new HyssopException("the transport of an endpoint does not start", e);
        }
        listen();
    }

    /** Binds the listener; does nothing when it is bound. */
    synchronized void listen() {
        if (listener.isPresent()) {
            return;
        }
        TCPNIOServerConnection bound = bind();
        port = ((InetSocketAddress) bound.getLocalAddress()).getPort();
        listener = Optional.of(bound);
    }

    /** Refuses new connections until {@link #listen}. */
    synchronized void unbind() {
        listener.ifPresent(transport::unbind);
        listener = Optional.empty();
    }

    void stop() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new HyssopException("the transport of an endpoint does not stop", e);
        }
    }

    /** Binds the port; retries while the previous listener of the port is still being closed by its selector. */
    private TCPNIOServerConnection bind() {
        IOException last = new IOException();
        for (int attempt = 0; attempt < BIND_ATTEMPTS; attempt++) {
            try {
                return transport.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (IOException e) {
                last = e;
                LockSupport.parkNanos(BIND_PAUSE_NANOS);
            }
        }
        throw new HyssopException("port " + port + " cannot be bound", last);
    }

    /** Hands bytes to the session of their connection. */
    private final class SessionFilter extends BaseFilter {

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            connection
                    .getAttributes()
                    .setAttribute(SESSION, new SessionHolder(runtime, new ConnectionSink(connection)));
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            Buffer buffer = context.getMessage();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            buffer.tryDispose();
            holder(context).ifPresent(h -> h.receive(bytes));
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            holder(context).ifPresent(SessionHolder::disconnected);
            return context.getStopAction();
        }

        private static Optional<SessionHolder> holder(FilterChainContext context) {
            return Optional.ofNullable(
                    (SessionHolder) context.getConnection().getAttributes().getAttribute(SESSION));
        }
    }

    /** Passes the events of one connection to the group's thread, which creates the session first. */
    private static final class SessionHolder {

        private final EndpointRuntime runtime;
        private Optional<ClientSession> session = Optional.empty();

        SessionHolder(EndpointRuntime runtime, ByteSink sink) {
            this.runtime = runtime;
            runtime.thread().execute(() -> session = Optional.of(new ClientSession(runtime, sink)));
        }

        void receive(byte[] bytes) {
            runtime.thread().execute(() -> session.ifPresent(s -> s.receive(bytes)));
        }

        void disconnected() {
            runtime.thread().execute(() -> session.ifPresent(ClientSession::disconnected));
        }
    }

    /** Writes to a connection. */
    private static final class ConnectionSink implements ByteSink {

        private final Connection<?> connection;

        ConnectionSink(Connection<?> connection) {
            this.connection = connection;
        }

        @Override
        @SuppressWarnings("unchecked")
        public void write(byte[] bytes) {
            Buffer buffer = Buffers.wrap(connection.getMemoryManager(), bytes);
            Future<?> unused = ((Connection<Object>) connection).write(buffer);
        }

        @Override
        public void close() {
            connection.closeSilently();
        }
    }
}
