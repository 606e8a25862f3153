package org.hyssopswitch.proxy.net;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.memory.Buffers;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;
import org.hyssopswitch.wire.WireFailure;

/**
 * A Grizzly connection that carries frames.
 *
 * <p>Each read suspends the connection's filter chain until the decision thread has taken the frames and wants more, so
 * that one connection holds at most one read buffer and one incomplete frame.
 */
final class GrizzlyChannel implements FrameChannel {

    private static final byte[] TLS_CONSENT = {'S'};

    private final DecisionLoop loop;
    private final Connection<SocketAddress> connection;
    private final FrameDecoder decoder;
    private final Option<FilterChain> tlsChain;
    private FrameListener listener;
    private Option<FilterChainContext> suspended = Option.none();
    private boolean paused;
    private boolean startupEnded;
    private boolean tls;
    private boolean broken;
    private boolean closed;

    GrizzlyChannel(
            DecisionLoop loop,
            Connection<SocketAddress> connection,
            FrameDecoder decoder,
            Option<FilterChain> tlsChain) {
        this.loop = loop;
        this.connection = connection;
        this.decoder = decoder;
        this.tlsChain = tlsChain;
    }

    @Override
    public void send(byte[] bytes, Runnable written) {
        write(bytes, () -> loop.execute(written));
    }

    @Override
    public void sendAndClose(byte[] bytes) {
        write(bytes, connection::closeSilently);
    }

    @Override
    public void pause() {
        paused = true;
    }

    @Override
    public void resume() {
        paused = false;
        // Deferred, because the caller may still be inside framesReceived.
        loop.execute(this::readOn);
    }

    @Override
    public void endStartup() {
        decoder.endStartup();
        startupEnded = true;
    }

    @Override
    public void startTls() {
        write(TLS_CONSENT, () -> {});
        tls = true;
        connection.setProcessor(tlsChain.get());
    }

    @Override
    public boolean tlsAvailable() {
        return tlsChain.isDefined() && !tls;
    }

    @Override
    public boolean confidential() {
        return tls || loopback();
    }

    @Override
    public void close() {
        connection.closeSilently();
    }

    /** Called on the decision thread before anything is delivered. */
    void listen(FrameListener target) {
        listener = target;
    }

    /** Decodes a buffer on an I/O thread; the suspended chain guarantees that no other read runs. */
    void received(Buffer buffer, FilterChainContext context) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        Either<WireFailure, List<Frame>> frames = decoder.feed(ByteBuffer.wrap(bytes));
        loop.execute(() -> deliver(frames, context));
    }

    void disconnected() {
        loop.execute(() -> {
            if (!closed && listener != null) {
                closed = true;
                listener.closed();
            }
        });
    }

    private boolean loopback() {
        return connection.getPeerAddress() instanceof InetSocketAddress peer
                && peer.getAddress().isLoopbackAddress();
    }

    private void deliver(Either<WireFailure, List<Frame>> frames, FilterChainContext context) {
        suspended = Option.some(context);
        dispatch(frames);
        if (!paused) {
            readOn();
        }
    }

    private void dispatch(Either<WireFailure, List<Frame>> first) {
        Either<WireFailure, List<Frame>> frames = first;
        while (!broken && !closed) {
            startupEnded = false;
            if (frames.isLeft()) {
                broken = true;
                listener.badInput(frames.getLeft());
                return;
            }
            if (!frames.get().isEmpty()) {
                listener.framesReceived(frames.get());
            }
            if (!startupEnded) {
                return;
            }
            frames = decoder.drain();
        }
    }

    private void readOn() {
        if (paused || broken || suspended.isEmpty()) {
            return;
        }
        FilterChainContext context = suspended.get();
        suspended = Option.none();
        context.resume(context.getStopAction());
    }

    private void write(byte[] bytes, Runnable written) {
        Buffer buffer = Buffers.wrap(connection.getMemoryManager(), bytes);
        connection.write(buffer, new WriteEnd(written));
    }

    private static final class WriteEnd extends EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>> {

        private final Runnable written;

        WriteEnd(Runnable written) {
            this.written = written;
        }

        @Override
        public void completed(WriteResult<Buffer, SocketAddress> result) {
            written.run();
        }
    }
}
