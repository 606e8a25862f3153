package org.hyssopswitch.proxy.home;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Consumer;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;

/** Removes what a stream left on a connection, before the next one uses it. */
final class ConnectionReset implements CycleHandler {

    private final EndpointConnection connection;
    private final Consumer<Boolean> done;
    private boolean failed;
    private boolean all;
    private boolean ended;

    /**
     * Creates a reset.
     *
     * @param connection the connection, which runs nothing
     * @param done takes whether the connection may be used again
     */
    ConnectionReset(EndpointConnection connection, Consumer<Boolean> done) {
        this.connection = connection;
        this.done = done;
    }

    /** Discards all session state. */
    void discardAll() {
        all = true;
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
    public void answered(List<Frame> frames) {
        frames.forEach(this::take);
    }

    @Override
    public void lost() {
        end(false);
    }

    private void take(Frame frame) {
        failed |= frame.is('E');
        if (frame.is('Z')) {
            connection.cycleEnded();
            end(!failed && BackendFrames.parseReady(frame).contains('I'));
        }
    }

    private void end(boolean usable) {
        if (ended) {
            return;
        }
        ended = true;
        if (usable && all) {
            connection.wasReset();
        } else if (usable) {
            connection.preparedStatements().clear();
        }
        done.accept(usable);
    }
}
