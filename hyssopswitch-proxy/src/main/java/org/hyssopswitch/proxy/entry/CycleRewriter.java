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
 * endpoint's answers to that from the caller. The statements of the session change only as the endpoint acknowledges what
 * the cycle prepares and closes: it may refuse a statement, or skip it after an error.
 */
final class CycleRewriter {

    private final PreparedStatements statements;
    private final Set<String> prepared;
    private final Queue<Parse> parses = new ArrayDeque<>();
    private final Queue<Option<String>> closes = new ArrayDeque<>();
    private final Set<String> parsedHere = new HashSet<>();
    private final Set<String> closedHere = new HashSet<>();

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
        if (parses.isEmpty() && closes.isEmpty()) {
            return answer;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FrameDecoder decoder = new FrameDecoder(false, Math.max(answer.length, FrameNetwork.MAX_FRAME_BYTES));
        decoder.feed(ByteBuffer.wrap(answer)).getOrElse(List.of()).stream()
                .filter(f -> !acknowledgesInserted(f))
                .forEach(f -> out.writeBytes(f.encode()));
        return out.toByteArray();
    }

    private Option<Refusal> add(Frame frame, ByteArrayOutputStream out) {
        if (frame.is('P')) {
            String name = PreparedStatements.nameOf(frame);
            parses.add(new Parse(frame, false));
            parsedHere.add(name);
            closedHere.remove(name);
        } else if (frame.is('B') || frame.is('D')) {
            Option<String> missing = statementOf(frame).filter(n -> !isPreparedHere(n));
            if (missing.isDefined()) {
                Option<Frame> parse = statements.find(missing.get()).filter(p -> !closedHere.contains(missing.get()));
                if (parse.isEmpty()) {
                    return Option.some(new Refusal.StatementUnknown(missing.get()));
                }
                parses.add(new Parse(parse.get(), true));
                parsedHere.add(missing.get());
                out.writeBytes(parse.get().encode());
            }
        } else if (frame.is('C')) {
            Option<String> closed = statementOf(frame);
            closes.add(closed);
            closed.forEach(n -> {
                parsedHere.remove(n);
                closedHere.add(n);
            });
        }
        out.writeBytes(frame.encode());
        return Option.none();
    }

    private boolean isPreparedHere(String name) {
        return parsedHere.contains(name) || (prepared.contains(name) && !closedHere.contains(name));
    }

    /** Records what a frame of the answer acknowledges, and returns whether that was inserted. */
    private boolean acknowledgesInserted(Frame frame) {
        if (frame.is('3')) {
            Option.of(closes.poll()).flatMap(closed -> closed).forEach(this::closed);
        }
        return frame.is('1') && Option.of(parses.poll()).exists(this::parsed);
    }

    private void closed(String name) {
        prepared.remove(name);
        statements.forget(name);
    }

    private boolean parsed(Parse parse) {
        String name = PreparedStatements.nameOf(parse.frame());
        if (!name.isEmpty()) {
            prepared.add(name);
        }
        if (!parse.inserted()) {
            statements.remember(parse.frame());
        }
        return parse.inserted();
    }

    private record Parse(Frame frame, boolean inserted) {}
}
