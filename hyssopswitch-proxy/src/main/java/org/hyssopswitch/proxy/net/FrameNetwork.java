package org.hyssopswitch.proxy.net;

import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.Function;

/** Opens and accepts connections that carry frames. */
public interface FrameNetwork extends AutoCloseable {

    /** Greatest frame that callers and endpoints may send. */
    int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    /**
     * Accepts connections.
     *
     * @param host IP address to listen on
     * @param port TCP port; 0 for any free one
     * @param acceptor gives the listener of an accepted connection; called on the decision thread
     * @return the port
     * @throws IOException if the address cannot be used
     */
    int listen(String host, int port, Function<FrameChannel, FrameListener> acceptor) throws IOException;

    /**
     * Opens a connection.
     *
     * @param host IP address
     * @param port TCP port
     * @param listener the listener; its {@code closed} is called also when the connection cannot be opened
     * @param connected called on the decision thread once the connection is open
     */
    void connect(String host, int port, FrameListener listener, Consumer<FrameChannel> connected);

    /** Stops accepting connections; open ones stay. */
    void stopListening();

    /** Closes all connections. */
    @Override
    void close();
}
