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

/** One cycle while it runs at an endpoint: passes its answer on and holds back what acknowledges a commit. */
final class CycleRun implements CycleHandler {

    private static final int FLUSH_BYTES = 64 * 1024;
    private static final int MAX_HELD_BYTES = 1024 * 1024;
    private static final String READ_ONLY = "25006";
    private static final Set<String> STATEFUL_TAGS =
            Set.of("SET", "RESET", "PREPARE", "LISTEN", "LOAD", "DECLARE CURSOR", "CREATE TABLE", "DO");

    private final HomeStream stream;
    private final EndpointConnection connection;
    private final End end;
    private Option<LogPosition> commit = Option.none();
    private Option<String> error = Option.none();
    private boolean open;
    private boolean completed;
    private boolean held;
    private boolean ended;

    CycleRun(HomeStream stream, EndpointConnection connection, End end) {
        this.stream = stream;
        this.connection = connection;
        this.end = end;
        this.open = stream.cycle().open();
    }

    HomeStream stream() {
        return stream;
    }

    EndpointConnection connection() {
        return connection;
    }

    /** Position of the write that the cycle committed. */
    Option<LogPosition> commit() {
        return commit;
    }

    /** Tells whether the endpoint refused the whole cycle because it is not the primary. */
    boolean refusedAsReplica() {
        return error.contains(READ_ONLY) && !completed && !stream.facts().reader();
    }

    void start() {
        send(stream.cycle().frames());
    }

    void more(byte[] frames, boolean stillOpen) {
        open = stillOpen;
        send(frames);
    }

    @Override
    public void answered(List<Frame> frames) {
        for (Frame frame : frames) {
            if (ended) {
                connection.closed();
                return;
            }
            take(frame);
        }
        if (!ended) {
            passOn();
        }
    }

    @Override
    public void lost() {
        if (!ended) {
            ended = true;
            end.cycleLost(this, "the connection to the endpoint broke");
        }
    }

    private void send(byte[] frames) {
        new FrameDecoder(false, FrameNetwork.MAX_FRAME_BYTES)
                .feed(ByteBuffer.wrap(frames))
                .forEach(list -> list.stream()
                        .filter(f -> f.is('P'))
                        .map(f -> new BodyReader(f.body()).readString())
                        .filter(n -> !n.isEmpty())
                        .forEach(connection::prepares));
        connection.run(frames, this);
    }

    private void take(Frame frame) {
        switch ((char) frame.type()) {
            case 'S' -> parameter(frame);
            case 'Z' -> ready(frame);
            case 'C' -> commandComplete(frame);
            case 'E' -> {
                error = BackendFrames.parseError(frame)
                        .map(BackendFrames.ErrorReport::sqlState)
                        .toOption();
                stream.buffer(frame.encode());
            }
            case 'G', 'W' -> connection.run(copyRefusal(), this);
            default -> stream.buffer(frame.encode());
        }
    }

    private void parameter(Frame frame) {
        BackendFrames.parseParameterStatus(frame).forEach(p -> {
            if (p.name().equals(EndpointParameters.COMMIT)) {
                commit = EndpointParameters.position(p.value());
            }
            if (!p.name().startsWith(EndpointParameters.PREFIX)) {
                stream.buffer(frame.encode());
            }
        });
    }

    private void commandComplete(Frame frame) {
        String tag = new BodyReader(frame.body()).readString();
        completed = true;
        // Before Sync, only an explicit COMMIT acknowledges anything.
        held |= !open || tag.equals("COMMIT");
        if (STATEFUL_TAGS.contains(tag)) {
            connection.changed();
        }
        stream.buffer(frame.encode());
    }

    private void ready(Frame frame) {
        ended = true;
        connection.cycleEnded();
        char status = BackendFrames.parseReady(frame).getOrElse('E');
        end.cycleEnded(this, TransactionState.of(status));
    }

    private void passOn() {
        if (held && stream.bufferedBytes() > MAX_HELD_BYTES) {
            ended = true;
            end.cycleLost(this, "the answer held for confirmation exceeds " + MAX_HELD_BYTES + " bytes");
        } else if (!held && (open || stream.bufferedBytes() >= FLUSH_BYTES)) {
            stream.flush();
        }
    }

    private static byte[] copyRefusal() {
        return new BodyWriter()
                .writeString("COPY from the caller is not supported")
                .toFrame('f')
                .encode();
    }

    /** Takes the end of a cycle. */
    interface End {

        void cycleEnded(CycleRun run, TransactionState transaction);

        void cycleLost(CycleRun run, String reason);
    }
}
