package org.hyssopswitch.proxy.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BodyReader;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;

/**
 * Prepares on the cycle's endpoint connection the statements that the session prepared elsewhere, and hides the
 * endpoint's answers to that from the caller.
 */
final class CycleRewriter {

    private final PreparedStatements statements;
    private final Set<String> prepared;
    private final Queue<Parse> parses = new ArrayDeque<>();
    private final Set<String> parsedHere = new HashSet<>();

    /**
     * Creates a rewriter for one cycle on one connection.
     *
     * @param statements the statements of the session
     * @param prepared the statements that are prepared on the connection; kept up to date
     */
    CycleRewriter(PreparedStatements statements, Set<String> prepared) {
        this.statements = statements;
        this.prepared = prepared;
    }

    /**
     * The statement that a Bind, Describe or Close frame names.
     *
     * @param frame the frame
     */
    static Option<String> statementOf(Frame frame) {
        BodyReader body = new BodyReader(frame.body());
        if (frame.is('B')) {
            body.readString();
            return Option.some(body.readString());
        }
        boolean ofStatement = (frame.is('D') || frame.is('C')) && body.readByte() == 'S';
        return ofStatement ? Option.some(body.readString()) : Option.none();
    }

    /**
     * Encodes frames of the cycle together with the Parse frames that they need.
     *
     * @param frames the caller's frames
     */
    Either<Refusal, byte[]> rewrite(List<Frame> frames) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Frame frame : frames) {
            Option<Refusal> refusal = add(frame, out);
            if (refusal.isDefined()) {
                return Either.left(refusal.get());
            }
        }
        return Either.right(out.toByteArray());
    }

    /**
     * Removes the answers to inserted frames.
     *
     * @param answer whole frames, encoded
     * @return the frames for the caller, encoded
     */
    byte[] filter(byte[] answer) {
        if (parses.isEmpty()) {
            return answer;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FrameDecoder decoder = new FrameDecoder(false, Math.max(answer.length, FrameNetwork.MAX_FRAME_BYTES));
        decoder.feed(ByteBuffer.wrap(answer)).getOrElse(List.of()).stream()
                .filter(f -> !f.is('1') || !answersInserted())
                .forEach(f -> out.writeBytes(f.encode()));
        return out.toByteArray();
    }

    private Option<Refusal> add(Frame frame, ByteArrayOutputStream out) {
        if (frame.is('P')) {
            String name = new BodyReader(frame.body()).readString();
            parses.add(new Parse(name, false));
            parsedHere.add(name);
        } else if (frame.is('B') || frame.is('D')) {
            Option<String> missing = statementOf(frame).filter(n -> !parsedHere.contains(n) && !prepared.contains(n));
            if (missing.isDefined()) {
                Option<Frame> parse = statements.find(missing.get());
                if (parse.isEmpty()) {
                    return Option.some(new Refusal.StatementUnknown(missing.get()));
                }
                parses.add(new Parse(missing.get(), true));
                parsedHere.add(missing.get());
                out.writeBytes(parse.get().encode());
            }
        } else if (frame.is('C')) {
            statementOf(frame).forEach(n -> {
                parsedHere.remove(n);
                prepared.remove(n);
            });
        }
        out.writeBytes(frame.encode());
        return Option.none();
    }

    private boolean answersInserted() {
        Parse parse = parses.poll();
        if (parse == null) {
            return false;
        }
        if (!parse.name().isEmpty()) {
            prepared.add(parse.name());
        }
        return parse.inserted();
    }

    private record Parse(String name, boolean inserted) {}
}
