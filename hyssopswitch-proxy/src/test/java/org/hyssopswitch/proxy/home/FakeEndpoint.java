package org.hyssopswitch.proxy.home;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.proxy.net.FrameChannel;
import org.hyssopswitch.proxy.net.FrameListener;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;

/** An endpoint with one connection, whose answers the test gives when it wants and as often as it wants. */
final class FakeEndpoint implements FrameNetwork, FrameChannel {

    static final ConnectionSpec SPEC = new ConnectionSpec(
            new DatabaseId("orders"),
            new EndpointDeclaration(
                    new EndpointId("orders-1"),
                    new DataCentreId("recife"),
                    new CellId("recife-1"),
                    "127.0.0.1",
                    1,
                    false),
            new EndpointUser("writer", "secret"),
            "vm-0/1");

    private final List<byte[]> sent = new ArrayList<>();
    private FrameListener listener;
    private boolean closed;

    /** Opens the connection and logs in. */
    void open(EndpointConnection connection) {
        connection.open();
        login();
    }

    void login() {
        sent.clear();
        listener.framesReceived(List.of(
                BackendFrames.authenticationOk(),
                BackendFrames.backendKeyData(1, 2),
                BackendFrames.parameterStatus("hyssop.applied", "1/10"),
                BackendFrames.readyForQuery('I')));
    }

    /** Delivers frames in one packet. */
    void deliver(List<Frame> frames) {
        listener.framesReceived(frames);
    }

    /** Ends the connection from the endpoint's side. */
    void breakConnection() {
        listener.closed();
    }

    int sentCount() {
        return sent.size();
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * The answer to what was sent last.
     *
     * @param query the answer to its simple query or Sync
     */
    List<Frame> answer(Frame... query) {
        List<Frame> answer = new ArrayList<>();
        byte[] types = new byte[0];
        List<Frame> frames = new FrameDecoder(false, MAX_FRAME_BYTES)
                .feed(ByteBuffer.wrap(sent.get(sent.size() - 1)))
                .get();
        for (Frame frame : frames) {
            switch ((char) frame.type()) {
                case 'C' -> answer.add(BackendFrames.empty('3'));
                case 'P' -> {
                    types = typesOf(frame);
                    answer.add(BackendFrames.empty('1'));
                }
                case 'D' -> {
                    answer.add(Frame.of('t', types));
                    answer.add(BackendFrames.empty('n'));
                }
                case 'Q', 'S' -> answer.addAll(Arrays.asList(query));
                default -> {
                    // Nothing else is sent in these tests.
                }
            }
        }
        return answer;
    }

    @Override
    public int listen(String host, int port, Function<FrameChannel, FrameListener> acceptor) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void connect(String host, int port, FrameListener newListener, Consumer<FrameChannel> connected) {
        listener = newListener;
        connected.accept(this);
    }

    @Override
    public void stopListening() {}

    @Override
    public void send(byte[] bytes, Runnable written) {
        sent.add(bytes);
    }

    @Override
    public void sendAndClose(byte[] bytes) {
        send(bytes);
        close();
    }

    @Override
    public void pause() {}

    @Override
    public void resume() {}

    @Override
    public void endStartup() {}

    @Override
    public void startTls() {}

    @Override
    public boolean tlsAvailable() {
        return false;
    }

    @Override
    public boolean confidential() {
        return true;
    }

    @Override
    public void close() {
        closed = true;
    }

    private static byte[] typesOf(Frame parse) {
        BodyReader body = new BodyReader(parse.body());
        body.readString();
        body.readString();
        return body.readBytes(body.remaining());
    }
}
