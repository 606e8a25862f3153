package org.hyssopswitch.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FrameDecoderTests {

    private static final int BOUND = 1_000;

    @Property(seed = "663069", tries = 200)
    void givesTheSameFramesHoweverTheStreamIsSplit(
            @ForAll @Size(min = 1, max = 8) List<@Size(max = 40) byte[]> bodies,
            @ForAll @IntRange(min = 1, max = 30) int step) {
        ByteBuffer stream = ByteBuffer.allocate(8 * 50);
        bodies.forEach(b -> Frame.of('D', b).encode(stream));
        stream.flip();
        FrameDecoder decoder = new FrameDecoder(false, BOUND);
        List<Frame> decoded = new ArrayList<>();
        while (stream.hasRemaining()) {
            ByteBuffer part = stream.slice(stream.position(), Math.min(step, stream.remaining()));
            stream.position(stream.position() + part.remaining());
            decoded.addAll(decoder.feed(part).get());
        }
        assertEquals(bodies.size(), decoded.size());
        for (int i = 0; i < bodies.size(); i++) {
            assertArrayEquals(bodies.get(i), decoded.get(i).body());
        }
    }

    @Property(seed = "163751", tries = 300)
    void endsOnRandomBytesWithFramesOrATypedFailure(@ForAll boolean startup, @ForAll @Size(max = 300) byte[] bytes) {
        Either<WireFailure, List<Frame>> result = new FrameDecoder(startup, BOUND).feed(ByteBuffer.wrap(bytes));
        int framed =
                result.map(l -> l.stream().mapToInt(Frame::encodedLength).sum()).getOrElse(0);
        assertTrue(framed <= bytes.length);
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, 3, BOUND + 1, Integer.MAX_VALUE})
    void refusesALengthOutsideItsBoundsBeforeTheBodyArrives(int length) {
        ByteBuffer header =
                ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).flip();
        WireFailure failure = new FrameDecoder(false, BOUND).feed(header).getLeft();
        assertEquals(new WireFailure.BadLength((byte) 'Q', length, BOUND), failure);
    }

    @Test
    void leavesBytesAfterTheStartupFrameUntilThePhaseIsEnded() {
        FrameDecoder decoder = new FrameDecoder(true, BOUND);
        ByteBuffer bytes = ByteBuffer.allocate(200);
        FrontendFrames.startup(Map.of("user", "school")).encode(bytes);
        FrontendFrames.query("SELECT 1").encode(bytes);
        assertEquals(Frame.STARTUP, decoder.feed(bytes.flip()).get().get(0).type());
        decoder.endStartup();
        assertTrue(decoder.drain().get().get(0).is('Q'));
    }

    @Test
    void rejectsABoundThatNoFrameFits() {
        assertThrows(IllegalArgumentException.class, () -> new FrameDecoder(false, 3));
    }

    @Test
    void readsTheStartupParameters() {
        StartupMessage message = StartupMessage.parse(FrontendFrames.startup(Map.of("user", "school", "database", "c")))
                .get();
        assertEquals(new StartupMessage.Session(Map.of("user", "school", "database", "c")), message);
    }

    @Test
    void readsTheRequestsThatOpenNoSession() {
        assertInstanceOf(
                StartupMessage.TlsRequest.class,
                StartupMessage.parse(FrontendFrames.tlsRequest()).get());
        assertEquals(
                new StartupMessage.CancelRequest(7, 9),
                StartupMessage.parse(FrontendFrames.cancelRequest(7, 9)).get());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 131_072, 196_609, 80_877_105})
    void refusesOtherProtocolVersions(int version) {
        Frame frame =
                new Frame(Frame.STARTUP, new BodyWriter().writeInt(version).toBytes());
        assertEquals(
                new WireFailure.BadVersion(version), StartupMessage.parse(frame).getLeft());
    }

    @Property(seed = "433777", tries = 300)
    void parsesOrRefusesAnyStartupBody(@ForAll @Size(max = 60) byte[] tail) {
        byte[] body = new BodyWriter()
                .writeInt(StartupMessage.VERSION_3_0)
                .writeBytes(tail)
                .toBytes();
        Either<WireFailure, StartupMessage> parsed = StartupMessage.parse(new Frame(Frame.STARTUP, body));
        assertTrue(parsed.isRight() || parsed.getLeft() instanceof WireFailure.BadBody);
    }

    @Property(seed = "96274", tries = 300)
    void parsesOrRefusesAnyServerBody(@ForAll @Size(max = 60) byte[] body) {
        assertTypedResult(BackendFrames.parseError(Frame.of('E', body)));
        assertTypedResult(BackendFrames.parseParameterStatus(Frame.of('S', body)));
        assertTypedResult(BackendFrames.parseReady(Frame.of('Z', body)));
        assertTypedResult(BackendFrames.parseCommandComplete(Frame.of('C', body)));
        assertTypedResult(BackendFrames.parseAuthentication(Frame.of('R', body)));
        assertTypedResult(BackendFrames.parseKeyData(Frame.of('K', body)));
    }

    @Test
    void readsBackWhatItWrites() {
        Frame error = BackendFrames.errorResponse("ERROR", "53400", "too fast", "execution=not run", "");
        assertEquals(
                new BackendFrames.ErrorReport("53400", "too fast"),
                BackendFrames.parseError(error).get());
        assertEquals(
                new BackendFrames.Parameter("hyssop.commit", "3/14"),
                BackendFrames.parseParameterStatus(BackendFrames.parameterStatus("hyssop.commit", "3/14"))
                        .get());
        assertEquals(
                'T', BackendFrames.parseReady(BackendFrames.readyForQuery('T')).get());
    }

    /** Guards against a text with zero bytes that adds fields to an error, such as another SQLSTATE. */
    @Property(seed = "40", tries = 300)
    void keepsTheFieldsOfAnErrorApart(@ForAll @Size(max = 20) List<@From("pieces") String> pieces) {
        String text = "m" + String.join("", pieces);
        BackendFrames.ErrorReport report = BackendFrames.parseError(
                        BackendFrames.errorResponse("ERROR", "42704", text, text, text))
                .get();
        assertEquals(new BackendFrames.ErrorReport("42704", text.replace('\0', '\uFFFD')), report);
    }

    @Provide
    Arbitrary<String> pieces() {
        return Arbitraries.of("\0", "\0C08007", "M", "'", "\n", "ã");
    }

    private static void assertTypedResult(Either<WireFailure, ?> result) {
        assertTrue(result.isRight() || result.getLeft() instanceof WireFailure.BadBody);
    }
}
