package org.hyssopswitch.proxy.net;

import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import javax.net.ssl.SSLContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.asyncqueue.AsyncQueueWriter;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.ssl.SSLEngineConfigurator;
import org.glassfish.grizzly.ssl.SSLFilter;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.hyssopswitch.wire.FrameDecoder;

/** Connections over one Grizzly transport. */
public final class GrizzlyNetwork implements FrameNetwork {

    private static final Logger LOG = LogManager.getLogger(GrizzlyNetwork.class);
    private static final int SELECTORS = 2;

    private final DecisionLoop loop;
    private final TCPNIOTransport transport;
    private final ChannelFilter channels = new ChannelFilter();
    private final Option<FilterChain> tlsChain;
    private final List<TCPNIOServerConnection> servers = new ArrayList<>();

    /**
     * Starts the transport.
     *
     * @param loop the decision thread
     * @param tls identity for TLS towards callers; nothing when TLS is not offered
     * @throws IOException if the transport cannot be started
     */
    public GrizzlyNetwork(DecisionLoop loop, Option<SSLContext> tls) throws IOException {
        this.loop = loop;
        tlsChain = tls.map(this::tlsChain);
        transport = TCPNIOTransportBuilder.newInstance()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(SELECTORS)
                .build();
        // The credit of each stream bounds what is queued; Grizzly's own bound would fail writes instead.
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(AsyncQueueWriter.UNLIMITED_SIZE);
        transport.start();
    }

    @Override
    public int listen(String host, int port, Function<FrameChannel, FrameListener> acceptor) throws IOException {
        TCPNIOServerConnection server = transport.bind(new InetSocketAddress(host, port));
        server.setProcessor(chain(new AcceptFilter(acceptor)));
        servers.add(server);
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    @Override
    public void connect(String host, int port, FrameListener listener, Consumer<FrameChannel> connected) {
        FilterChain chain = chain(channels);
        TCPNIOConnectorHandler.builder(transport)
                .processor(chain)
                .build()
                .connect(new InetSocketAddress(host, port), new ConnectEnd(listener, connected));
    }

    @Override
    public void stopListening() {
        servers.forEach(TCPNIOServerConnection::closeSilently);
    }

    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            LOG.warn("event=transport_stop_failed error={}", e.getMessage());
        }
    }

    private static FilterChain chain(BaseFilter last) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(last)
                .build();
    }

    private FilterChain tlsChain(SSLContext context) {
        SSLEngineConfigurator server = new SSLEngineConfigurator(context, false, false, false);
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new SSLFilter(server, null))
                .add(channels)
                .build();
    }

    private GrizzlyChannel channel(Connection<SocketAddress> connection, boolean startup) {
        FrameDecoder decoder = new FrameDecoder(startup, MAX_FRAME_BYTES);
        GrizzlyChannel channel = new GrizzlyChannel(loop, connection, decoder, startup ? tlsChain : Option.none());
        channels.bind(connection, channel);
        return channel;
    }

    /** Gives accepted connections a channel and their own processor. */
    private final class AcceptFilter extends BaseFilter {

        private final Function<FrameChannel, FrameListener> acceptor;
        private final FilterChain accepted = chain(channels);

        AcceptFilter(Function<FrameChannel, FrameListener> acceptor) {
            this.acceptor = acceptor;
        }

        @Override
        @SuppressWarnings("unchecked")
        public NextAction handleAccept(FilterChainContext context) {
            GrizzlyChannel channel = channel(context.getConnection(), true);
            context.getConnection().setProcessor(accepted);
            loop.execute(() -> channel.listen(acceptor.apply(channel)));
            return context.getStopAction();
        }
    }

    @SuppressWarnings("rawtypes")
    private final class ConnectEnd extends EmptyCompletionHandler<Connection> {

        private final FrameListener listener;
        private final Consumer<FrameChannel> connected;

        ConnectEnd(FrameListener listener, Consumer<FrameChannel> connected) {
            this.listener = listener;
            this.connected = connected;
        }

        @Override
        @SuppressWarnings("unchecked")
        public void completed(Connection connection) {
            GrizzlyChannel channel = channel(connection, false);
            loop.execute(() -> {
                channel.listen(listener);
                connected.accept(channel);
            });
        }

        @Override
        public void failed(Throwable error) {
            loop.execute(listener::closed);
        }

        @Override
        public void cancelled() {
            loop.execute(listener::closed);
        }
    }
}
