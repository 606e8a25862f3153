package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.BodyWriter;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;

/**
 * One cycle while it runs at an endpoint. Forwards the answer as it arrives; from the first frame that may acknowledge
 * a commit, the answer stays buffered until the home has that commit confirmed.
 */
final class CycleRun implements CycleHandler {

    private static final int FLUSH_BYTES = 64 * 1024;
    private static final int MAX_HELD_BYTES = 1024 * 1024;
    private static final String READ_ONLY_SQL_STATE = "25006";
    private static final Set<String> STATEFUL_TAGS =
            Set.of("SET", "RESET", "PREPARE", "LISTEN", "LOAD", "DECLARE CURSOR", "CREATE TABLE", "DO");

    private final HomeStream stream;
    private final EndpointConnection connection;
    private final Listener listener;
    private Option<LogPosition> commitPosition = Option.none();
    private Option<String> errorSqlState = Option.none();
    private boolean open;
    private boolean commandCompleted;
    private boolean answerHeld;
    private boolean ended;

    CycleRun(HomeStream stream, EndpointConnection connection, Listener listener) {
        this.stream = stream;
        this.connection = connection;
        this.listener = listener;
        this.open = stream.cycle().open();
    }

    HomeStream stream() {
        return stream;
    }

    EndpointConnection connection() {
        return connection;
    }

    /** Returns the log position of the write that the cycle committed. */
    Option<LogPosition> commitPosition() {
        return commitPosition;
    }

    /** Whether the endpoint refused the whole cycle because it is not the primary. */
    boolean isRefusedByReplica() {
        return errorSqlState.contains(READ_ONLY_SQL_STATE)
                && !commandCompleted
                && !stream.routing().reader();
    }

    void start() {
        send(stream.cycle().frames());
    }

    void continueWith(byte[] frames, boolean stillOpen) {
        open = stillOpen;
        send(frames);
    }

    @Override
    public void framesReceived(List<Frame> frames) {
        for (Frame frame : frames) {
            if (ended) {
                connection.closed();
                return;
            }
            handleFrame(frame);
        }
        if (!ended) {
            forwardAnswer();
        }
    }

    @Override
    public void connectionLost() {
        if (!ended) {
            ended = true;
            listener.cycleLost(this, "the connection to the endpoint broke");
        }
    }

    private void send(byte[] frames) {
        new FrameDecoder(false, FrameNetwork.MAX_FRAME_BYTES)
                .feed(ByteBuffer.wrap(frames))
                .forEach(list -> list.stream()
                        .filter(f -> f.is('P'))
                        .map(f -> new BodyReader(f.body()).readString())
                        .filter(n -> !n.isEmpty())
                        .forEach(connection::addPreparedStatement));
        connection.run(frames, this);
    }

    private void handleFrame(Frame frame) {
        switch ((char) frame.type()) {
            case 'S' -> handleParameter(frame);
            case 'Z' -> handleReady(frame);
            case 'C' -> handleCommandComplete(frame);
            case 'E' -> {
                errorSqlState = BackendFrames.parseError(frame)
                        .map(BackendFrames.ErrorReport::sqlState)
                        .toOption();
                stream.buffer(frame.encode());
            }
            case 'G', 'W' -> connection.refuseCopy(copyFailFrame());
            default -> stream.buffer(frame.encode());
        }
    }

    private void handleParameter(Frame frame) {
        BackendFrames.parseParameterStatus(frame).forEach(p -> {
            if (p.name().equals(EndpointParameters.COMMIT)) {
                commitPosition = EndpointParameters.position(p.value());
            }
            if (!p.name().startsWith(EndpointParameters.PREFIX)) {
                stream.buffer(frame.encode());
            }
        });
    }

    private void handleCommandComplete(Frame frame) {
        String tag = BackendFrames.parseCommandComplete(frame).getOrElse("");
        commandCompleted = true;
        // Before Sync, only an explicit COMMIT acknowledges anything.
        answerHeld |= !open || tag.equals("COMMIT");
        if (STATEFUL_TAGS.contains(tag)) {
            connection.markStateChanged();
        }
        stream.buffer(frame.encode());
    }

    private void handleReady(Frame frame) {
        ended = true;
        connection.endCycle();
        char status = BackendFrames.parseReady(frame).getOrElse('E');
        listener.cycleEnded(this, TransactionState.of(status));
    }

    private void forwardAnswer() {
        if (answerHeld && stream.bufferedBytes() > MAX_HELD_BYTES) {
            ended = true;
            listener.cycleLost(this, "the answer held for confirmation exceeds " + MAX_HELD_BYTES + " bytes");
        } else if (!answerHeld && (open || stream.bufferedBytes() >= FLUSH_BYTES)) {
            stream.flush();
        }
    }

    private static byte[] copyFailFrame() {
        return new BodyWriter()
                .writeString("COPY from the caller is not supported")
                .toFrame('f')
                .encode();
    }

    /** Receives the end of a cycle. */
    interface Listener {

        void cycleEnded(CycleRun run, TransactionState transaction);

        void cycleLost(CycleRun run, String reason);
    }
}
