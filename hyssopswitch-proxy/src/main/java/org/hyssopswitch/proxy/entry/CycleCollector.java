package org.hyssopswitch.proxy.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;

/** Gathers a caller's frames into cycles. */
final class CycleCollector {

    /** Greatest size of a cycle; it travels to the home as one message. */
    static final int MAX_CYCLE_BYTES = 2 * 1024 * 1024;

    private final List<Frame> frames = new ArrayList<>();
    private int bytes;

    /**
     * Takes a frame; throws {@link java.nio.BufferUnderflowException} when its body ends too early.
     *
     * @param frame the frame
     * @return the part that the frame completes, if any, or why the caller's connection must end
     */
    Either<Refusal, Option<CyclePart>> add(Frame frame) {
        bytes += frame.encodedLength();
        if (bytes > MAX_CYCLE_BYTES) {
            return Either.left(new Refusal.ProtocolViolation("a cycle exceeds " + MAX_CYCLE_BYTES + " bytes"));
        }
        check(frame);
        return switch ((char) frame.type()) {
            case 'Q' -> query(frame);
            case 'P', 'B', 'D', 'E', 'C' -> {
                frames.add(frame);
                yield Either.right(Option.none());
            }
            case 'H' -> end(frame, true);
            case 'S' -> end(frame, false);
            // Copy data may follow a copy that the home has refused.
            case 'd', 'c', 'f' -> {
                bytes -= frame.encodedLength();
                yield Either.right(Option.none());
            }
            default -> Either.left(new Refusal.ProtocolViolation("unexpected frame of type " + frame.type()));
        };
    }

    /** Reads what routing will read, so that a body that ends too early is found before anything runs. */
    private static void check(Frame frame) {
        switch ((char) frame.type()) {
            case 'Q' -> new BodyReader(frame.body()).readString();
            case 'P' -> PreparedStatements.sqlOf(frame);
            case 'B', 'D', 'C' -> CycleRewriter.statementOf(frame);
            default -> {
                // nothing is read of other frames
            }
        }
    }

    private Either<Refusal, Option<CyclePart>> query(Frame frame) {
        // Drivers close statements in front of a simple query; a close cannot fail, so that the cycle stays whole.
        if (!frames.stream().allMatch(f -> f.is('C'))) {
            return Either.left(new Refusal.ProtocolViolation("a simple query inside an extended-protocol cycle"));
        }
        return end(frame, false);
    }

    private Either<Refusal, Option<CyclePart>> end(Frame frame, boolean open) {
        frames.add(frame);
        CyclePart part = new CyclePart(frames, open);
        frames.clear();
        bytes = 0;
        return Either.right(Option.some(part));
    }
}
