package org.hyssopswitch.proxy.home;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an endpoint connection makes of an endpoint that answers twice, the second time late. */
class EndpointConnectionTests {

    private final FakeEndpoint endpoint = new FakeEndpoint();
    private final RecordingOwner owner = new RecordingOwner();
    private final EndpointConnection connection = new EndpointConnection(endpoint, FakeEndpoint.SPEC, owner);

    @BeforeEach
    void open() {
        endpoint.open(connection);
    }

    /** Guards against the repeated answer to one cycle going to whoever runs the next one. */
    @Test
    void givesNoAnswerOfAnEarlierCycleToTheNextOne() {
        RecordingHandler first = run();
        List<Frame> answer = endpoint.answer(row("first"), BackendFrames.commandComplete("SELECT 1"), ready());
        endpoint.deliver(answer);
        RecordingHandler second = run();
        endpoint.deliver(answer);
        assertEquals("DCZ", first.types());
        assertEquals("", second.types());
        assertTrue(second.lost);
        assertTrue(endpoint.isClosed());
        assertEquals(1, owner.lost);
    }

    /** Guards against an answer and its repetition in one packet ending a cycle that started in between. */
    @Test
    void givesNoRepetitionInTheSamePacketToTheCycleThatFollows() {
        RecordingHandler second = new RecordingHandler();
        connection.run(FrontendFrames.query("SELECT 1").encode(), new RecordingHandler() {
            @Override
            void ended() {
                connection.run(FrontendFrames.query("SELECT 2").encode(), second);
            }
        });
        List<Frame> twice = new ArrayList<>(endpoint.answer(BackendFrames.commandComplete("SELECT 1"), ready()));
        twice.addAll(List.copyOf(twice));
        endpoint.deliver(twice);
        assertEquals("", second.types());
        assertTrue(second.lost);
    }

    /** Guards against the commit position of an earlier write standing for a later one. */
    @Test
    void closesTheConnectionWhenACommitPositionIsReportedAgain() {
        run();
        endpoint.deliver(endpoint.answer(BackendFrames.commandComplete("INSERT 0 1"), commit("1/11"), ready()));
        RecordingHandler second = run();
        endpoint.deliver(endpoint.answer(BackendFrames.commandComplete("INSERT 0 1"), commit("1/11"), ready()));
        assertFalse(second.types().contains("Z"));
        assertTrue(second.lost);
    }

    /** Guards against log positions being taken from a part of a late answer. */
    @Test
    void takesNoLogPositionOutsideTheEndOfAnAnswer() {
        RecordingHandler handler = run();
        endpoint.deliver(List.of(BackendFrames.parameterStatus("hyssop.applied", "1/5")));
        assertTrue(handler.lost);
    }

    /** Guards against the repeated end of a login being taken for the answer to the first cycle. */
    @Test
    void closesTheConnectionWhenALoginEndsTwice() {
        RecordingHandler handler = run();
        endpoint.deliver(List.of(BackendFrames.authenticationOk(), BackendFrames.backendKeyData(1, 2), ready()));
        assertEquals("", handler.types());
        assertTrue(handler.lost);
    }

    /** Guards against a check that refuses what endpoints rightly send. */
    @Test
    void passesNoticesParametersAndErrorsOfTheCycleOn() {
        RecordingHandler handler = run();
        Frame notice = Frame.of('N', new byte[] {0});
        Frame error = BackendFrames.errorResponse("ERROR", "42601", "syntax error", "", "");
        endpoint.deliver(
                endpoint.answer(notice, error, BackendFrames.parameterStatus("hyssop.applied", "1/12"), ready()));
        assertEquals("NESZ", handler.types());
        assertEquals(Option.some(new LogPosition(1, 12)), connection.applied());
        assertTrue(connection.isUsable());
    }

    private RecordingHandler run() {
        RecordingHandler handler = new RecordingHandler();
        connection.run(FrontendFrames.query("SELECT 1").encode(), handler);
        return handler;
    }

    private static Frame ready() {
        return BackendFrames.readyForQuery('I');
    }

    private static Frame commit(String position) {
        return BackendFrames.parameterStatus("hyssop.commit", position);
    }

    private static Frame row(String value) {
        return BackendFrames.dataRow(List.of(Option.some(value.getBytes(StandardCharsets.UTF_8))));
    }

    private static final class RecordingOwner implements EndpointConnection.Owner {

        private int lost;

        @Override
        public void opened(EndpointConnection opened) {}

        @Override
        public void openFailed(EndpointConnection failed, String sqlState) {}

        @Override
        public void lost(EndpointConnection broken) {
            lost++;
        }
    }

    private class RecordingHandler implements CycleHandler {

        private final List<Frame> frames = new ArrayList<>();
        private boolean lost;

        String types() {
            StringBuilder types = new StringBuilder();
            frames.forEach(f -> types.append((char) f.type()));
            return types.toString();
        }

        void ended() {}

        @Override
        public void framesReceived(List<Frame> received) {
            for (Frame frame : received) {
                frames.add(frame);
                if (frame.is('Z')) {
                    connection.endCycle();
                    ended();
                }
            }
        }

        @Override
        public void connectionLost() {
            lost = true;
        }
    }
}
