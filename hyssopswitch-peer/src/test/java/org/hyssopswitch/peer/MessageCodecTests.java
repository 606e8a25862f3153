package org.hyssopswitch.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MessageCodecTests {

    private final MessageCodec codec = SampleMessages.codec();

    @Property(seed = "492426")
    void everyKindOfComponentSurvivesARoundTrip(@ForAll("messages") SampleMessages.Everything message) {
        assertEquals(Either.right(message), codec.decode(body(message)));
    }

    @Property(seed = "88688")
    void byteArraysSurviveARoundTrip(@ForAll @Size(max = 2000) byte[] payload, @ForAll long number) {
        PeerMessage read =
                codec.decode(body(new SampleMessages.Numbered(number, payload))).get();
        SampleMessages.Numbered numbered = assertInstanceOf(SampleMessages.Numbered.class, read);
        assertEquals(number, numbered.number());
        assertArrayEquals(payload, numbered.payload());
    }

    @Property(seed = "859046")
    void randomBytesAreRefusedOrReadButNeverThrow(@ForAll @Size(max = 300) byte[] bytes) {
        byte[] frame = bytes.clone();
        if (frame.length > 1) {
            frame[0] = MessageCodec.VERSION;
            frame[1] = (byte) (10 + Math.floorMod(frame[1], 3));
        }
        Either<PeerFailure, PeerMessage> result = codec.decode(frame);
        assertTrue(result.isRight() || !result.getLeft().describe().isEmpty());
    }

    @Property(seed = "631173")
    void everyTruncationIsRefused(
            @ForAll("messages") SampleMessages.Everything message, @ForAll @IntRange(min = 1, max = 40) int cut) {
        byte[] frame = body(message);
        byte[] truncated = Arrays.copyOf(frame, Math.max(0, frame.length - cut));
        assertTrue(codec.decode(truncated).isLeft());
    }

    @Property(seed = "591059")
    void damagedFramesNeverThrow(
            @ForAll("messages") SampleMessages.Everything message, @ForAll int position, @ForAll byte value) {
        byte[] frame = body(message);
        frame[Math.floorMod(position, frame.length)] = value;
        Either<PeerFailure, PeerMessage> result = codec.decode(frame);
        assertTrue(result.isRight() || !result.getLeft().describe().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({
        "'', MalformedFrame",
        "'02 0b 91 a1 61', OtherVersion",
        "'00 0b 91 a1 61', OtherVersion",
        "'01 7b 91 a1 61', UnknownMessage",
        "'01 ff 91 a1 61', UnknownMessage",
        "'01 0b', MalformedFrame",
        "'01 0b 90', MalformedFrame",
        "'01 0b 92 a1 61 a1 61', MalformedFrame",
        "'01 0b 91 c0', MalformedFrame",
        "'01 0b 91 01', MalformedFrame",
        "'01 0b 91 a1 61 00', MalformedFrame",
        "'01 0b 91 a1 ff', MalformedFrame",
        "'01 0b 91 db 7f ff ff ff 61', MalformedFrame",
        "'01 0b 91 db ff ff ff ff 61', MalformedFrame",
        "'01 0c 92 01 c6 7f ff ff ff', MalformedFrame",
        "'01 0b dd 7f ff ff ff', MalformedFrame",
        "'01 c1', MalformedFrame"
    })
    void malformedFramesGetATypedFailure(String hex, String failure) {
        byte[] frame = hex.isEmpty() ? new byte[0] : bytes(hex);
        assertEquals(failure, codec.decode(frame).getLeft().getClass().getSimpleName());
    }

    @Test
    void componentsThatTheRecordRefusesAreMalformed() {
        PeerFailure failure = codec.decode(bytes("01 01 93 96 a1 41 00 a1 41 a1 41 a0 01 90 c4 00"))
                .getLeft();
        assertInstanceOf(PeerFailure.MalformedFrame.class, failure);
    }

    @Test
    void framesAboveTheBoundAreRefusedBothWays() {
        MessageCodec small = new MessageCodec(SampleMessages.registry(), 1024);
        SampleMessages.Text text = new SampleMessages.Text("x".repeat(2000));
        assertInstanceOf(PeerFailure.FrameTooLarge.class, small.encode(text).getLeft());
        assertInstanceOf(
                PeerFailure.FrameTooLarge.class, small.decode(body(text)).getLeft());
    }

    @Test
    void theRegistryRefusesTakenNumbersAndUnencodableComponents() {
        MessageRegistry.Builder builder = MessageRegistry.builder().register(10, SampleMessages.Text.class);
        assertThrows(PeerException.class, () -> builder.register(10, SampleMessages.Numbered.class));
        assertThrows(PeerException.class, () -> builder.register(11, SampleMessages.Text.class));
        assertThrows(PeerException.class, () -> builder.register(9, SampleMessages.Numbered.class));
        assertThrows(PeerException.class, () -> builder.register(130, SampleMessages.Numbered.class));
        assertThrows(PeerException.class, () -> builder.register(12, SampleMessages.Recursive.class));
        assertThrows(PeerException.class, () -> builder.register(13, SampleMessages.Unencodable.class));
    }

    @Test
    void unregisteredMessagesAreAProgrammingError() {
        MessageCodec empty = new MessageCodec(MessageRegistry.builder().build(), 1024);
        assertThrows(PeerException.class, () -> empty.encode(new SampleMessages.Text("x")));
    }

    @Provide
    Arbitrary<SampleMessages.Everything> messages() {
        Arbitrary<LogPosition> positions = Combinators.combine(
                        Arbitraries.longs().greaterOrEqual(0),
                        Arbitraries.longs().greaterOrEqual(0))
                .as(LogPosition::new);
        Arbitrary<SampleMessages.Shape> shapes = Arbitraries.oneOf(
                Arbitraries.floats().map(SampleMessages.Circle::new),
                Arbitraries.shorts().map(s -> new SampleMessages.Square(s, s.byteValue())));
        Arbitrary<SampleMessages.Nested> nested = Combinators.combine(
                        positions.list().ofMaxSize(5), shapes)
                .as((list, shape) -> new SampleMessages.Nested(
                        list, Map.of(new DatabaseId("d1"), List.of(1L, -1L)), Set.of("a", "é€"), shape));
        return Combinators.combine(
                        Arbitraries.integers(),
                        Arbitraries.longs(),
                        Arbitraries.doubles(),
                        Arbitraries.strings().ofMaxLength(30),
                        Arbitraries.of(EndpointRole.values()),
                        positions,
                        nested)
                .as((i, l, d, s, role, position, n) -> new SampleMessages.Everything(
                        i,
                        l,
                        d,
                        i > 0,
                        s,
                        role,
                        position,
                        Optional.of(new DatabaseId("db.1")),
                        Option.when(l > 0, position),
                        n));
    }

    private byte[] body(PeerMessage message) {
        byte[] frame = codec.encode(message).get();
        return Arrays.copyOfRange(frame, MessageCodec.LENGTH_BYTES, frame.length);
    }

    private static byte[] bytes(String hex) {
        return java.util.HexFormat.ofDelimiter(" ").parseHex(hex);
    }
}
