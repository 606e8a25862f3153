package org.hyssopswitch.proxy.home;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.TransactionState;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;

/** Any frames, in any order, from an endpoint. */
class EndpointFuzzTests {

    private static final int BATCH = 3;

    /** Guards against an exception on the decision thread, which leaves a slot of the endpoint taken for good. */
    @Property(tries = 2_000, seed = "40")
    void aCycleEndsAtMostOnceAndOnlyAClosedConnectionLeavesItBehind(
            @ForAll("frames") List<Frame> frames, @ForAll boolean marked) {
        FakeEndpoint endpoint = new FakeEndpoint();
        EndpointConnection connection = new EndpointConnection(endpoint, FakeEndpoint.SPEC, new NoOwner());
        endpoint.open(connection);
        Ends ends = new Ends();
        HomeStream stream = stream(ends);
        stream.bind(connection);
        new CycleRun(stream, connection, ends).start();
        List<Frame> all = new ArrayList<>(marked ? endpoint.answer() : List.of());
        all.addAll(frames);
        assertDoesNotThrow(() -> {
            for (int i = 0; i < all.size(); i += BATCH) {
                endpoint.deliver(all.subList(i, Math.min(all.size(), i + BATCH)));
            }
        });
        assertTrue(ends.ended + ends.lost <= 1);
        if (!marked) {
            assertEquals(0, ends.ended);
        }
        if (endpoint.isClosed()) {
            assertEquals(1, ends.ended + ends.lost);
        }
    }

    /** Guards against the same during a login, and against a password that is sent twice. */
    @Property(tries = 2_000, seed = "41")
    void aLoginSendsThePasswordOnceAndThrowsNothing(@ForAll("frames") List<Frame> frames) {
        FakeEndpoint endpoint = new FakeEndpoint();
        EndpointConnection connection = new EndpointConnection(endpoint, FakeEndpoint.SPEC, new NoOwner());
        connection.open();
        assertDoesNotThrow(() -> frames.forEach(f -> endpoint.deliver(List.of(f))));
        assertTrue(endpoint.sentCount() <= 2, "the startup frame and one password");
    }

    @Provide
    Arbitrary<List<Frame>> frames() {
        Arbitrary<byte[]> bodies = Arbitraries.bytes().array(byte[].class).ofMaxSize(12);
        Arbitrary<Frame> any = Combinators.combine(
                        Arbitraries.of("123tTnDCZESNAIsGHWKRdcv"
                                .chars()
                                .mapToObj(c -> (char) c)
                                .toList()),
                        bodies)
                .as(Frame::of);
        Arbitrary<Frame> proper = Arbitraries.of(
                BackendFrames.commandComplete("SELECT 1"),
                BackendFrames.commandComplete("COMMIT"),
                BackendFrames.readyForQuery('I'),
                BackendFrames.readyForQuery('T'),
                BackendFrames.authenticationCleartext(),
                BackendFrames.authenticationOk(),
                BackendFrames.errorResponse("ERROR", "25006", "read only", "", ""),
                BackendFrames.parameterStatus("hyssop.commit", "1/20"),
                BackendFrames.parameterStatus("hyssop.commit", "x"),
                BackendFrames.parameterStatus("TimeZone", "UTC"),
                Frame.of('T', new byte[] {0, 0}),
                Frame.of('D', new byte[] {0, 0}));
        return Arbitraries.frequencyOf(Tuple.of(1, any), Tuple.of(3, proper))
                .list()
                .ofMaxSize(14);
    }

    private static HomeStream stream(Ends ends) {
        VmAddress entry =
                new VmAddress(new VmId("vm-1"), 1, new DataCentreId("recife"), new CellId("recife-1"), "127.0.0.1", 1);
        CycleRouting routing = new CycleRouting(
                new ClientAccountId("school"),
                FakeEndpoint.SPEC.database(),
                FakeEndpoint.SPEC.endpoint().id(),
                false,
                false,
                LogPosition.ZERO,
                1_000);
        ExecuteCycle cycle = new ExecuteCycle(
                1, 1, 1, routing, false, FrontendFrames.query("SELECT 1").encode());
        return new HomeStream(new StreamKey(entry, 1), ends, cycle, 1_000);
    }

    private static final class Ends implements CycleRun.Listener, ReplySender {

        private int ended;
        private int lost;

        @Override
        public void cycleEnded(CycleRun run, TransactionState transaction) {
            ended++;
        }

        @Override
        public void cycleLost(CycleRun run, String reason) {
            lost++;
        }

        @Override
        public void send(VmAddress to, PeerMessage message) {}
    }

    private static final class NoOwner implements EndpointConnection.Owner {

        @Override
        public void opened(EndpointConnection opened) {}

        @Override
        public void openFailed(EndpointConnection failed, String sqlState) {}

        @Override
        public void lost(EndpointConnection broken) {}
    }
}
