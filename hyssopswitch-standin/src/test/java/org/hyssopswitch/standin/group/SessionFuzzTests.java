package org.hyssopswitch.standin.group;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrontendFrames;

/** Malformed, truncated and out-of-order bytes end at most the session that they came on. */
class SessionFuzzTests {

    private static final String FRAME_TYPES = "QPBDECHSXpFdcf1";

    private final GroupSettings settings = GroupSettings.of("orders", 1);
    private GroupThread thread;
    private EndpointRuntime runtime;

    @BeforeProperty
    void start() {
        thread = new GroupThread("fuzz");
        Endpoint endpoint = new Endpoint(settings.endpoints().get(0).id(), thread.nowNanos());
        endpoint.control(new ControlRequest.Fence(1, "vm"), thread.nowNanos());
        endpoint.control(new ControlRequest.Promote(1, "vm"), thread.nowNanos());
        runtime = new EndpointRuntime(endpoint, settings, new FaultTable(settings), thread, () -> {});
    }

    @AfterProperty
    void stop() {
        thread.stop();
    }

    @Property(tries = 300, seed = "11")
    void survivesRandomBytesInsteadOfAStartup(@ForAll byte[] bytes) {
        Recorder client = open();
        client.receive(bytes);
        client.end();
    }

    @Property(tries = 500, seed = "11")
    void survivesRandomFramesOfASession(@ForAll("frames") List<Frame> frames) {
        Recorder client = login();
        frames.forEach(f -> client.receive(f.encode()));
        client.end();
        assertServes();
    }

    @Property(tries = 200, seed = "11")
    void survivesFramesThatArriveInPieces(@ForAll("frames") List<Frame> frames) {
        Recorder client = login();
        for (Frame frame : frames) {
            for (byte b : frame.encode()) {
                client.receive(new byte[] {b});
            }
        }
        client.end();
        assertServes();
    }

    @Provide
    Arbitrary<List<Frame>> frames() {
        Arbitrary<Frame> random = Arbitraries.of(
                        FRAME_TYPES.chars().mapToObj(c -> (char) c).toList())
                .flatMap(t ->
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(24).map(b -> Frame.of(t, b)));
        Arbitrary<Frame> valid = Arbitraries.of(
                FrontendFrames.query("SELECT 1"),
                FrontendFrames.query("BEGIN; INSERT INTO kv (key, value) VALUES ('a', 'b')"),
                FrontendFrames.parse("s", "SELECT key FROM kv WHERE key = $1"),
                FrontendFrames.close('S', "s"),
                FrontendFrames.sync());
        return Arbitraries.oneOf(random, valid).list().ofMaxSize(12);
    }

    private void assertServes() {
        Recorder client = login();
        client.receive(FrontendFrames.query("SELECT 1").encode());
        assertEquals(true, client.receivedRow(), "no row after another session ended");
        client.end();
        assertEquals(0, runtime.statistics().clients().size());
    }

    private Recorder login() {
        Recorder client = open();
        client.receive(FrontendFrames.startup(Map.of("user", settings.writer().user(), "database", "orders"))
                .encode());
        client.receive(FrontendFrames.password(settings.writer().password()).encode());
        // The session opens in a task of its own, which has run before this one.
        thread.call(() -> true);
        return client;
    }

    private Recorder open() {
        return thread.call(Recorder::new);
    }

    /** A client that records what it receives. */
    private final class Recorder implements ByteSink {

        private final List<byte[]> written = new ArrayList<>();
        private final ClientSession session = new ClientSession(runtime, this);

        @Override
        public void write(byte[] bytes) {
            written.add(bytes);
        }

        @Override
        public void close() {
            written.add(new byte[0]);
        }

        /** Exceptions of the session surface here. */
        void receive(byte[] bytes) {
            thread.call(() -> {
                session.receive(bytes);
                return true;
            });
        }

        boolean receivedRow() {
            return written.stream().anyMatch(b -> b.length > 0 && b[0] == 'T');
        }

        void end() {
            thread.call(() -> {
                session.disconnected();
                return true;
            });
        }
    }
}
