package org.hyssopswitch.pool.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against callers that are told of a commit which its endpoint has acknowledged and a promotion may still lose. */
class HeldCommitTests {

    private static final long ANSWER_MILLIS = 100;

    /** The timeout of the routes and the time until it is noticed, milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_100;

    private final TestPool pool = new TestPool(16, 6);
    private final List<Consumer<Boolean>> held = new ArrayList<>();
    private final List<Option<LogPosition>> commits = new ArrayList<>();
    private final FakeCaller caller;

    HeldCommitTests() {
        pool.setCommitGuard((group, commit, done) -> {
            commits.add(commit);
            held.add(done);
        });
        caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(ANSWER_MILLIS);
    }

    @Test
    void answersAWriteOnceItIsConfirmed() {
        caller.write("w1");
        pool.advance(ANSWER_MILLIS);
        assertEquals(List.of(), caller.replies());
        assertEquals(List.of(Option.some(pool.endpoint("e1").position())), commits);
        held.get(0).accept(true);
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void leavesAnUnconfirmedWriteInDoubt() {
        caller.write("w1");
        pool.advance(ANSWER_MILLIS);
        held.get(0).accept(false);
        assertEquals(ErrorCode.IN_DOUBT, caller.lastError());
        assertEquals(List.of("w1"), pool.endpoint("e1").executedStatements());
    }

    @Test
    void answersACommitOnceItIsConfirmed() {
        writeInTransaction();
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(ANSWER_MILLIS);
        assertEquals(2, caller.replies().size());
        held.get(0).accept(true);
        assertEquals(3, caller.replies().size());
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void leavesAnUnconfirmedCommitInDoubt() {
        writeInTransaction();
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(ANSWER_MILLIS);
        held.get(0).accept(false);
        assertEquals(ErrorCode.IN_DOUBT, caller.lastError());
        caller.read("r1");
        pool.advance(ANSWER_MILLIS);
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void answersTheCommitOfATransactionThatWroteNothingAtOnce() {
        caller.send("b", new CallerStatement.Begin(false));
        caller.read("r1");
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(ANSWER_MILLIS);
        assertEquals(List.of(), commits);
        assertTrue(caller.lastReply().succeeded());
    }

    /** Guards against a late confirmation that answers a later statement, and against a promise that nothing was kept. */
    @Test
    void ignoresAConfirmationAfterTheTimeout() {
        caller.write("w1");
        pool.advance(TIMEOUT_MILLIS);
        assertEquals(ErrorCode.TIMEOUT, caller.lastError());
        held.get(0).accept(true);
        assertEquals(1, caller.replies().size());
        writeInTransaction();
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(TIMEOUT_MILLIS);
        assertEquals(ErrorCode.TIMEOUT, caller.lastError());
        held.get(1).accept(true);
        assertEquals(4, caller.replies().size());
    }

    /** Guards against held answers that use up the connections to the primary. */
    @Test
    void holdsNoConnection() {
        caller.write("w1");
        pool.advance(ANSWER_MILLIS);
        int opened = pool.endpoint("e1").openedConnections();
        FakeCaller other = pool.connectCaller(TestPool.LATEST);
        other.read("r1");
        pool.advance(ANSWER_MILLIS);
        assertTrue(other.lastReply().succeeded());
        assertEquals(opened, pool.endpoint("e1").openedConnections());
    }

    private void writeInTransaction() {
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w2");
        pool.advance(ANSWER_MILLIS);
    }
}
