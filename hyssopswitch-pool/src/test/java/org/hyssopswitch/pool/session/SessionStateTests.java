package org.hyssopswitch.pool.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.hyssopswitch.pool.testing.TestPoolFleet;
import org.junit.jupiter.api.Test;

/** Values and prepared statements of sessions at the connections that run their statements. */
class SessionStateTests {

    /** More than any connection keeps. */
    private static final int MANY_STATEMENTS = 1_000;

    /** Statements that a connection may keep, with room for the endpoint's own. */
    private static final int KEPT_STATEMENTS = 256;

    /** Time for a connection to open and a statement to run on it, milliseconds. */
    private static final long EXECUTION_MILLIS = 60;

    private final TestPool pool = new TestPool(16, 6);

    /** Guards against an endpoint whose memory grows with every shape that any caller of an account ever prepared. */
    @Test
    void boundsTheStatementsPreparedOnAConnection() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.send("v", new CallerStatement.SetValue("zone", "x"));
        for (int number = 0; number < MANY_STATEMENTS; number++) {
            execute(caller, "x" + number, "q" + number);
            assertTrue(caller.lastReply().succeeded());
        }
        execute(caller, "again", "q0");
        assertTrue(caller.lastReply().succeeded());
        assertTrue(
                pool.endpoint("e1").preparedStatements() <= KEPT_STATEMENTS,
                pool.endpoint("e1").preparedStatements() + " prepared");
        assertEquals(Map.of("zone", "x"), pool.endpoint("e1").sessionValues("x" + (MANY_STATEMENTS - 1)));
        assertEquals(Map.of("zone", "x"), pool.endpoint("e1").sessionValues("again"));
    }

    /** Guards against a reset of the connection inside a transaction, which would drop what its statements need. */
    @Test
    void keepsAllStatementsPreparedInsideATransaction() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.send("b", new CallerStatement.Begin(false));
        for (int number = 0; number < 2 * KEPT_STATEMENTS; number++) {
            execute(caller, "x" + number, "q" + number);
            assertTrue(caller.lastReply().succeeded());
        }
        assertEquals(2 * KEPT_STATEMENTS, pool.endpoint("e1").preparedStatements());
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(EXECUTION_MILLIS);
        assertTrue(caller.lastReply().succeeded());
        execute(caller, "next", "other");
        assertEquals(1, pool.endpoint("e1").preparedStatements());
    }

    /** Guards against a statement that is repeated without the values that its caller has set. */
    @Test
    void setsTheValuesAgainWhereAStatementWasLost() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.send("v", new CallerStatement.SetValue("zone", "x"));
        execute(caller, "x1", "q");
        pool.endpoint("e1").loseSessionState();
        caller.send("x2", new CallerStatement.Execute("s1", "a"));
        pool.advance(200);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(Map.of("zone", "x"), pool.endpoint("e1").sessionValues("x2"));
    }

    /** Guards against a caller that is told that a statement is unknown which it has prepared. */
    @Test
    void abortsTheTransactionWhoseStatementWasLost() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.send("b", new CallerStatement.Begin(false));
        execute(caller, "x1", "q");
        pool.endpoint("e1").loseSessionState();
        caller.send("x2", new CallerStatement.Execute("s1", "a"));
        pool.advance(200);
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        assertEquals(TransactionStatus.FAILED, caller.lastReply().status());
    }

    /** Guards against a lender that sets the session state of a failed transaction, which the endpoint refuses. */
    @Test
    void sendsOnlyTheRollbackOnALentConnectionWhoseTransactionFailed() {
        TestPoolFleet fleet = new TestPoolFleet(40, 12, 8, true);
        int borrower = fleet.lenderIndex("e1") == 0 ? 1 : 0;
        FakeCaller caller = fleet.connectCaller(borrower, TestPool.LATEST, 1);
        caller.send("p", new CallerStatement.Prepare("s1", new PreparedShape(true, "q")));
        caller.send("b", new CallerStatement.Begin(false));
        caller.send("x1", new CallerStatement.Execute("s1", "a"));
        fleet.advance(200);
        assertTrue(caller.lastReply().succeeded());
        int opened = fleet.endpoint("e1").openedConnections();
        fleet.endpoint("e1").loseSessionState();
        caller.send("x2", new CallerStatement.Execute("s1", "a"));
        fleet.advance(200);
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        caller.send("r", new CallerStatement.Rollback());
        caller.send("x3", new CallerStatement.Execute("s1", "a"));
        fleet.advance(200);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(0, fleet.endpoint("e1").commandsInFailedTransactions());
        // A connection is closed after an operation that failed, so the next one opens another.
        assertEquals(opened + 1, fleet.endpoint("e1").openedConnections());
    }

    private void execute(FakeCaller caller, String id, String shape) {
        caller.send(id + "p", new CallerStatement.Prepare("s1", new PreparedShape(false, shape)));
        caller.send(id, new CallerStatement.Execute("s1", "a"));
        pool.advance(EXECUTION_MILLIS);
    }
}
