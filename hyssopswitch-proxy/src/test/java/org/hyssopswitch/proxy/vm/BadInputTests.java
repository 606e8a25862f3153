package org.hyssopswitch.proxy.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.hyssopswitch.wire.BackendFrames;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;
import org.hyssopswitch.wire.FrontendFrames;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that send what is no protocol: their connection ends and nobody else notices. */
class BadInputTests {

    private static final int TIMEOUT_MILLIS = 20_000;
    private static TestFleet fleet;

    @BeforeAll
    @BeforeContainer
    static void start() {
        if (fleet == null) {
            fleet = new TestFleet(1);
        }
    }

    @AfterAll
    @AfterContainer
    static void stop() {
        if (fleet != null) {
            fleet.close();
            fleet = null;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "length below the minimum, 00000003",
        "oversized length, 7fffffff",
        "negative length, ffffffff0003",
        "unknown version, 0000000800020000",
        "startup that ends too early, 00000009000300007500",
        "cancel request that ends too early, 0000000804d2162e",
        "text, 474554202f20485454502f312e310d0a0d0a",
    })
    void endsAConnectionWhoseStartupCannotBeRead(String name, String hex) throws Exception {
        try (Connection witness = fleet.connect(0)) {
            assertEquals("08P01", errorOf(HexFormat.of().parseHex(hex)), name);
            assertEquals(List.of("1"), TestFleet.rows(witness, "SELECT 1"));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "unknown type, 7a00000004",
        "query without terminator, 5100000006 4142",
        "parse that ends too early, 5000000005 41",
        "bind that ends too early, 4200000005 00",
        "oversized frame, 51 7fffffff",
        "length below the minimum, 51 00000003",
        "function call, 46 00000004",
        "query inside a cycle, 5000000008 00410000 5100000006 4100",
        "password again, 70 00000005 00",
    })
    void endsASessionThatBreaksTheProtocol(String name, String hex) throws Exception {
        try (Connection witness = fleet.connect(0)) {
            byte[] bad = HexFormat.of().parseHex(hex.replace(" ", ""));
            assertEquals("08P01", errorOf(openSession(), bad), name);
            assertEquals(List.of("1"), TestFleet.rows(witness, "SELECT 1"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"v2:certificates:1:1", "v1:orders:1:1", "nonsense", "v1:certificates:-1:1"})
    void refusesATokenThatCannotBeRead(String token) throws Exception {
        byte[] startup = FrontendFrames.startup(
                        Map.of("user", "open", "database", TestFleet.DATABASE, "hyssop.session", token))
                .encode();
        assertEquals("22023", errorOf(startup));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "2147483647, -1"})
    void ignoresACancelRequestWithAWrongSecret(int process, int secret) throws Exception {
        try (Connection witness = fleet.connect(0);
                Socket socket = connect()) {
            socket.getOutputStream()
                    .write(FrontendFrames.cancelRequest(process, secret).encode());
            assertEquals(-1, socket.getInputStream().read());
            assertEquals(List.of("1"), TestFleet.rows(witness, "SELECT 1"));
        }
    }

    @Property(seed = "797569", tries = 100)
    void survivesRandomStartupBytes(@ForAll @Size(max = 200) byte[] bytes) throws Exception {
        start();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            readAll(socket);
        }
        assertServes();
    }

    @Property(seed = "714619", tries = 100)
    void survivesRandomFramesInASession(@ForAll byte type, @ForAll @Size(max = 100) byte[] body) throws Exception {
        start();
        try (Socket socket = connect()) {
            socket.getOutputStream().write(openSession());
            socket.getOutputStream().write(new Frame(type == 0 ? (byte) 'Q' : type, body).encode());
            socket.getOutputStream().write(FrontendFrames.sync().encode());
            socket.shutdownOutput();
            readAll(socket);
        }
        assertServes();
    }

    private static void assertServes() throws SQLException {
        try (Connection witness = fleet.connect(0, "open", "", Map.of())) {
            assertEquals(List.of("1"), TestFleet.rows(witness, "SELECT 1 /* route='validity' */"));
        }
    }

    private static byte[] openSession() {
        return FrontendFrames.startup(Map.of("user", "open", "database", TestFleet.DATABASE))
                .encode();
    }

    private static String errorOf(byte[]... parts) throws IOException {
        try (Socket socket = connect()) {
            for (byte[] part : parts) {
                socket.getOutputStream().write(part);
            }
            byte[] answer = readAll(socket);
            List<Frame> frames = new FrameDecoder(false, 1 << 20)
                    .feed(ByteBuffer.wrap(answer))
                    .get();
            assertTrue(frames.size() > 0, "the connection ended without an error");
            Frame last = frames.get(frames.size() - 1);
            return BackendFrames.parseError(last).get().sqlState();
        }
    }

    private static Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.vm(0).callerPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Reads until the VM closes the connection. */
    private static byte[] readAll(Socket socket) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(all);
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // The VM closed the connection with our bytes unread.
            return all.toByteArray();
        }
        return all.toByteArray();
    }
}
