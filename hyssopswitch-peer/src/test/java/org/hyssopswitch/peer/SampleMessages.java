package org.hyssopswitch.peer;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.LogPosition;

/** Messages with every kind of component. */
final class SampleMessages {

    static final int MAX_FRAME_BYTES = 1 << 20;

    private SampleMessages() {}

    static MessageRegistry registry() {
        return MessageRegistry.builder()
                .register(10, Everything.class)
                .register(11, Text.class)
                .register(12, Numbered.class)
                .build();
    }

    static MessageCodec codec() {
        return new MessageCodec(registry(), MAX_FRAME_BYTES);
    }

    record Text(String text) implements PeerMessage {}

    record Numbered(long number, byte[] payload) implements PeerMessage {}

    record Everything(
            int i,
            long l,
            double d,
            boolean b,
            String s,
            EndpointRole role,
            LogPosition position,
            Optional<DatabaseId> database,
            Option<LogPosition> floor,
            Nested nested)
            implements PeerMessage {}

    record Nested(List<LogPosition> list, Map<DatabaseId, List<Long>> map, Set<String> set, Shape shape) {}

    sealed interface Shape {}

    record Circle(float radius) implements Shape {}

    record Square(short side, byte colour) implements Shape {}

    record Recursive(List<Recursive> children) implements PeerMessage {}

    record Unencodable(Object value) implements PeerMessage {}
}
