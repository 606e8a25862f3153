package org.hyssopswitch.proxy.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.proxy.net.FrameNetwork;
import org.hyssopswitch.wire.BodyWriter;
import org.hyssopswitch.wire.Frame;
import org.hyssopswitch.wire.FrameDecoder;
import org.hyssopswitch.wire.FrontendFrames;
import org.junit.jupiter.api.Test;

/** Guards against a name that runs another text than its session has prepared under it. */
class PreparedStatementsTests {

    private static final String OLD = "SELECT 1";
    private static final String NEW = "SELECT 2";
    private static final int LIMIT = 1_024;

    private final PreparedStatements statements = new PreparedStatements();

    @Test
    void keepsTheOldTextWhenTheEndpointRefusesANewOne() {
        FakeStatementConnection transaction = new FakeStatementConnection();
        assertEquals("1", run(transaction, parse(OLD)));
        assertEquals("E", run(transaction, parse(NEW)));
        FakeStatementConnection next = new FakeStatementConnection();
        assertEquals("2", run(next, bind()));
        assertEquals(List.of(OLD), next.executed());
    }

    @Test
    void keepsTheOldTextWhenTheNewOneIsSkippedAfterAnError() {
        assertEquals("1", run(new FakeStatementConnection(), parse(OLD)));
        assertEquals(
                "E",
                run(
                        new FakeStatementConnection(),
                        FrontendFrames.parse("other", FakeStatementConnection.INVALID),
                        close(),
                        parse(NEW)));
        FakeStatementConnection next = new FakeStatementConnection();
        assertEquals("2", run(next, bind()));
        assertEquals(List.of(OLD), next.executed());
    }

    @Test
    void remembersAStatementThatIsClosedAndPreparedAgainInOneCycle() {
        assertEquals("1", run(new FakeStatementConnection(), parse(OLD)));
        assertEquals("31", run(new FakeStatementConnection(), close(), parse(NEW)));
        FakeStatementConnection next = new FakeStatementConnection();
        assertEquals("2", run(next, bind()));
        assertEquals(List.of(NEW), next.executed());
    }

    @Test
    void runsTheOldTextAheadOfTheNewOneInOneCycle() {
        assertEquals("1", run(new FakeStatementConnection(), parse(OLD)));
        FakeStatementConnection connection = new FakeStatementConnection();
        assertEquals("2312", run(connection, bind(), close(), parse(NEW), bind()));
        assertEquals(List.of(OLD, NEW), connection.executed());
    }

    @Test
    void refusesAStatementThatWasClosed() {
        FakeStatementConnection connection = new FakeStatementConnection();
        assertEquals("1", run(connection, parse(OLD)));
        assertEquals("unknown", run(connection, close(), bind()));
        assertEquals("3", run(connection, close()));
        assertEquals("unknown", run(connection, bind()));
        assertEquals("unknown", run(new FakeStatementConnection(), bind()));
    }

    @Test
    void boundsTheStatementsOfASession() {
        FakeStatementConnection connection = new FakeStatementConnection();
        for (int i = 0; i < LIMIT; i++) {
            assertEquals("1", run(connection, FrontendFrames.parse("s" + i, OLD)));
        }
        assertFalse(statements.reserve(List.of(FrontendFrames.parse("more", OLD))));
        statements.releaseReservations();
        assertTrue(statements.reserve(List.of(FrontendFrames.parse("s0", NEW))));
        statements.releaseReservations();
        assertEquals("3", run(connection, FrontendFrames.close('S', "s0")));
        assertTrue(statements.reserve(List.of(FrontendFrames.parse("more", OLD))));
        assertFalse(statements.reserve(List.of(FrontendFrames.parse("evenmore", OLD))));
    }

    /** Any cycles of any transactions: what runs is what the caller was told last. */
    @Property(seed = "40367")
    void runsWhatWasAcknowledgedLast(@ForAll("cycles") List<Cycle> cycles) {
        FakeStatementConnection connection = new FakeStatementConnection();
        PreparedStatements session = new PreparedStatements();
        Map<String, String> acknowledged = new HashMap<>();
        for (Cycle cycle : cycles) {
            if (cycle.newTransaction()) {
                // Before another transaction uses a connection, its statements are closed.
                connection = new FakeStatementConnection();
            }
            int before = connection.executed().size();
            String answer = run(session, connection, cycle.frames());
            List<String> expected = new ArrayList<>();
            for (int i = 0; i < answer.length() && i < cycle.frames().size(); i++) {
                Frame frame = cycle.frames().get(i);
                switch (answer.charAt(i)) {
                    case '1' -> acknowledged.put(PreparedStatements.nameOf(frame), PreparedStatements.sqlOf(frame));
                    case '2' ->
                        expected.add(acknowledged.get(
                                CycleRewriter.statementOf(frame).get()));
                    case '3' ->
                        acknowledged.remove(CycleRewriter.statementOf(frame).get());
                    default -> {
                        // an error: nothing more of the cycle ran
                    }
                }
            }
            List<String> executed = connection.executed();
            assertEquals(expected, executed.subList(before, executed.size()));
        }
        for (Map.Entry<String, String> entry : acknowledged.entrySet()) {
            FakeStatementConnection fresh = new FakeStatementConnection();
            assertEquals("2", run(session, fresh, List.of(bind(entry.getKey()))));
            assertEquals(List.of(entry.getValue()), fresh.executed());
        }
    }

    @Provide
    Arbitrary<List<Cycle>> cycles() {
        Arbitrary<String> names = Arbitraries.of("s1", "s 2", "\u00e9\n");
        Arbitrary<Frame> parses = Combinators.combine(names, Arbitraries.of(OLD, NEW, FakeStatementConnection.INVALID))
                .as(FrontendFrames::parse);
        Arbitrary<Frame> frames = Arbitraries.oneOf(
                parses, names.map(PreparedStatementsTests::bind), names.map(n -> FrontendFrames.close('S', n)));
        Arbitrary<List<Frame>> cycle = frames.list().ofMinSize(1).ofMaxSize(4);
        return Combinators.combine(Arbitraries.of(true, false), cycle)
                .as(Cycle::new)
                .list()
                .ofMaxSize(8);
    }

    /** Runs a cycle as its driver does; returns the types of the frames that the caller gets, or {@code unknown}. */
    private String run(FakeStatementConnection connection, Frame... frames) {
        return run(statements, connection, List.of(frames));
    }

    private static String run(PreparedStatements session, FakeStatementConnection connection, List<Frame> frames) {
        assertTrue(session.reserve(frames));
        CycleRewriter rewriter = new CycleRewriter(session, connection.prepared());
        Either<Refusal, byte[]> cycle = rewriter.rewrite(frames);
        String answer = cycle.map(connection::run)
                .map(rewriter::filter)
                .map(PreparedStatementsTests::types)
                .getOrElse("unknown");
        session.releaseReservations();
        return answer;
    }

    private static String types(byte[] answer) {
        StringBuilder types = new StringBuilder();
        new FrameDecoder(false, FrameNetwork.MAX_FRAME_BYTES)
                .feed(ByteBuffer.wrap(answer))
                .get()
                .forEach(f -> types.append((char) f.type()));
        return types.toString();
    }

    private static Frame parse(String sql) {
        return FrontendFrames.parse("s1", sql);
    }

    private static Frame close() {
        return FrontendFrames.close('S', "s1");
    }

    private static Frame bind() {
        return bind("s1");
    }

    private static Frame bind(String name) {
        return new BodyWriter()
                .writeString("")
                .writeString(name)
                .writeShort(0)
                .writeShort(0)
                .writeShort(0)
                .toFrame('B');
    }

    private record Cycle(boolean newTransaction, List<Frame> frames) {

        Cycle {
            frames = List.copyOf(frames);
        }
    }
}
