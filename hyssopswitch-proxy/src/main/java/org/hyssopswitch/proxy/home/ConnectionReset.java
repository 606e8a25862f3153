package org.hyssopswitch.proxy.home;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Consumer;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;

/** Resets the session state that a stream left on a connection before another stream uses it. */
final class ConnectionReset implements CycleHandler {

    private final EndpointConnection connection;
    private final Consumer<Boolean> callback;
    private boolean failed;
    private boolean discardingAll;
    private boolean completed;

    /**
     * Creates a reset.
     *
     * @param connection the connection; no cycle may be running on it
     * @param callback receives whether the connection may be reused
     */
    ConnectionReset(EndpointConnection connection, Consumer<Boolean> callback) {
        this.connection = connection;
        this.callback = callback;
    }

    /** Discards all session state. */
    void discardAll() {
        discardingAll = true;
        connection.run(FrontendFrames.query("DISCARD ALL").encode(), this);
    }

    /** Closes the prepared statements only. */
    void closeStatements() {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        connection
                .preparedStatements()
                .forEach(n -> frames.writeBytes(FrontendFrames.close('S', n).encode()));
        frames.writeBytes(FrontendFrames.sync().encode());
        connection.run(frames.toByteArray(), this);
    }

    @Override
    public void framesReceived(List<Frame> frames) {
        frames.forEach(this::handleFrame);
    }

    @Override
    public void connectionLost() {
        complete(false);
    }

    private void handleFrame(Frame frame) {
        failed |= frame.is('E');
        if (frame.is('Z')) {
            connection.endCycle();
            complete(!failed && BackendFrames.parseReady(frame).contains('I'));
        }
    }

    private void complete(boolean usable) {
        if (completed) {
            return;
        }
        completed = true;
        if (usable && discardingAll) {
            connection.markReset();
        } else if (usable) {
            connection.preparedStatements().clear();
        }
        callback.accept(usable);
    }
}
