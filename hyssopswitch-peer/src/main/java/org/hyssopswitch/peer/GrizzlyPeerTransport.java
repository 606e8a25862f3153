package org.hyssopswitch.peer;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor.DiscardPolicy;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Links over TCP, each dialled by the side that sends on it and authenticated both ways by the fleet secret.
 *
 * <p>The listener is called on I/O threads and must not block.
 */
public final class GrizzlyPeerTransport implements PeerTransport {

    private static final Logger LOG = LogManager.getLogger(GrizzlyPeerTransport.class);

    private final TCPNIOTransport transport;
    private final ScheduledThreadPoolExecutor timer =
            new ScheduledThreadPoolExecutor(1, GrizzlyPeerTransport::timerThread, new DiscardPolicy());
    private final PeerOptions options;
    private final PeerListener listener;
    private final InboundLinks inbound = new InboundLinks();
    private final LinkContext context;
    private final OutboundLinks outbound;
    private volatile boolean closed;

    /**
     * Binds the listener and starts to accept links.
     *
     * @param options who this VM is, and limits
     * @param registry the message classes
     * @param listener takes messages and failures
     * @param metrics registry of the counters
     * @param random source of the backoff's jitter
     * @param nowMillis monotonic clock, in milliseconds
     * @throws PeerException if the address cannot be bound
     */
    public GrizzlyPeerTransport(
            PeerOptions options,
            MessageRegistry registry,
            PeerListener listener,
            MetricRegistry metrics,
            RandomGenerator random,
            LongSupplier nowMillis) {
        this.options = options;
        this.listener = listener;
        this.transport = createTransport();
        VmAddress self = options.addressAt(bind());
        this.context = new LinkContext(
                self,
                options.limits(),
                new MessageCodec(registry, options.limits().maxFrameBytes()),
                new LinkAuthenticator(options.fleetSecret()),
                new PeerMetrics(metrics));
        this.outbound = new OutboundLinks(context, listener, this::dial, random, nowMillis);
        start();
    }

    /** The address of this VM, with the port that was bound. */
    public VmAddress self() {
        return context.self();
    }

    @Override
    public void send(VmAddress to, PeerMessage message) {
        if (closed) {
            return;
        }
        context.codec()
                .encode(message)
                .peek(frame -> outbound.send(to, frame))
                .peekLeft(failure -> reportUnsendable(to, failure));
    }

    @Override
    public void close() {
        closed = true;
        outbound.close();
        timer.shutdownNow();
        shutdown(transport);
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "peer-timer");
        thread.setDaemon(true);
        return thread;
    }

    private TCPNIOTransport createTransport() {
        TCPNIOTransport result = TCPNIOTransportBuilder.newInstance()
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setKeepAlive(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .build();
        result.getAsyncQueueIO()
                .getWriter()
                .setMaxPendingBytesPerConnection(options.limits().maxPendingBytes());
        result.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter(this::accept))
                .build());
        return result;
    }

    private int bind() {
        try {
            TCPNIOServerConnection server = transport.bind(options.host(), options.port());
            return ((InetSocketAddress) server.getLocalAddress()).getPort();
        } catch (IOException e) {
            throw new PeerException("cannot listen on " + options.host() + ":" + options.port(), e);
        }
    }

    private void start() {
        try {
            transport.start();
        } catch (IOException e) {
            throw new PeerException("cannot start the peer transport", e);
        }
    }

    private LinkEnd accept(Connection<?> connection) {
        InboundLink link = new InboundLink(context, connection, inbound, this::deliver);
        if (inbound.strangerConnected() > options.limits().maxStrangers()) {
            link.fail(new PeerFailure.StrangerRefused("too many connections are in the handshake"));
        } else {
            expireLater(link::expire);
        }
        return link;
    }

    private void deliver(VmAddress from, PeerMessage message) {
        if (!closed) {
            listener.messageReceived(from, message);
        }
    }

    private void dial(OutboundLink link) {
        expireLater(link::expire);
        TCPNIOConnectorHandler.builder(transport)
                .build()
                .connect(new InetSocketAddress(link.to().host(), link.to().port()), new EmptyCompletionHandler<>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        link.connected(connection);
                    }

                    @Override
                    public void failed(Throwable error) {
                        link.fail(new PeerFailure.DialFailed(link.to(), String.valueOf(error.getMessage())));
                    }
                });
    }

    private void expireLater(Runnable task) {
        ScheduledFuture<?> unused =
                timer.schedule(task, options.limits().handshakeTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    private void reportUnsendable(VmAddress to, PeerFailure failure) {
        context.metrics().dropped();
        LOG.error("event=peer_message_unsendable vm={} reason=\"{}\"", to.vm(), failure.describe());
        listener.linkFailed(to);
    }

    private static void shutdown(TCPNIOTransport transport) {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            LOG.warn("event=peer_transport_close_failed reason=\"{}\"", e.getMessage());
        }
    }
}
