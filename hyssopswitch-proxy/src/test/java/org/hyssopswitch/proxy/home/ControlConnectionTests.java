package org.hyssopswitch.proxy.home;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.junit.jupiter.api.Test;

/** Control calls to an endpoint that answers twice. */
class ControlConnectionTests {

    private final FakeEndpoint endpoint = new FakeEndpoint();
    private final ControlConnection control = new ControlConnection(
            new StoppedLoop(),
            FakeEndpoint.SPEC.endpoint().id(),
            owner -> new EndpointConnection(endpoint, FakeEndpoint.SPEC, owner));
    private final List<Either<ControlFailure, ControlReply>> replies = new ArrayList<>();

    /** Guards against a write being confirmed by the repeated answer to the await of an earlier write. */
    @Test
    void confirmsNoAwaitByTheAnswerToAnEarlierOne() {
        await(10);
        endpoint.login();
        List<Frame> answer = accepted();
        endpoint.deliver(answer);
        await(20);
        endpoint.deliver(answer);
        assertEquals(2, replies.size());
        assertTrue(replies.get(0).isRight());
        assertTrue(replies.get(1).isLeft(), () -> "answered by " + replies.get(1));
    }

    /** Guards against the same in one packet, when the next call is queued already. */
    @Test
    void confirmsNoQueuedAwaitByARepetitionInTheSamePacket() {
        await(10);
        endpoint.login();
        await(20);
        List<Frame> twice = new ArrayList<>(accepted());
        twice.addAll(List.copyOf(twice));
        endpoint.deliver(twice);
        assertEquals(2, replies.size());
        assertTrue(replies.get(1).isLeft(), () -> "answered by " + replies.get(1));
    }

    private void await(long offset) {
        control.call(new ControlRequest.AwaitPosition(1, offset), 1_000, replies::add);
    }

    private List<Frame> accepted() {
        List<Option<byte[]>> columns = Stream.of("t", "orders-1", "replica", "1", "1", "10", "0", "5", "5")
                .map(v -> Option.some(v.getBytes(StandardCharsets.UTF_8)))
                .toList();
        return endpoint.answer(
                BackendFrames.dataRow(columns),
                BackendFrames.commandComplete("SELECT 1"),
                BackendFrames.readyForQuery('I'));
    }
}
