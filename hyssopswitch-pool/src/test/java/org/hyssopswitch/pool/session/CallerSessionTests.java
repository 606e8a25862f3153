package org.hyssopswitch.pool.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

class CallerSessionTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    @Test
    void refusesAnUnknownDatabaseAndAnUnknownKey() {
        assertEquals(
                List.of(ErrorCode.DATABASE_UNKNOWN),
                pool.connectCaller("nothing").refusals());
        FakeCaller unauthorized = new FakeCaller(pool.sessions(), TestPool.LATEST, "wrong");
        assertEquals(List.of(ErrorCode.KEY_UNKNOWN), unauthorized.refusals());
        assertFalse(unauthorized.isSessionOpen());
    }

    @Test
    void runsALatestReadAtThePrimaryOnly() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.read("r1");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(List.of("r1"), pool.endpoint("e1").executedStatements());
    }

    @Test
    void doesNotRunALatestReadAtAPrimaryThatWasReplaced() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.read("r1");
        pool.advance(100);
        pool.endpoint("e1").setPrimary(false);
        pool.endpoint("e3").setPrimary(true);
        caller.read("r2");
        pool.advance(300);
        assertEquals(List.of("r1"), pool.endpoint("e1").executedStatements());
        assertEquals(ErrorCode.OVERLOADED, caller.lastError());
    }

    @Test
    void servesABoundedReadFromTheReplicaOfItsDataCentre() {
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.read("warm");
        pool.advance(1_000);
        caller.read("r1");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(List.of("r1"), pool.endpoint("e2").executedStatements());
    }

    @Test
    void readsAtAnEndpointThatHoldsTheSessionsOwnWrite() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.write("w1");
        pool.advance(600);
        caller.read("r1");
        pool.advance(200);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(List.of("w1", "r1"), pool.endpoint("e1").executedStatements());
        pool.endpoint("e2").setPosition(pool.endpoint("e1").position());
        caller.read("r2");
        pool.advance(100);
        assertEquals(List.of("r2"), pool.endpoint("e2").executedStatements());
    }

    @Test
    void readsAtThePrimaryWhenNoReplicaHoldsTheFloorAfterAPromotionRolledItBack() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.write("w1");
        pool.advance(50);
        pool.endpoint("e1").setPrimary(false);
        pool.endpoint("e3").setPrimary(true);
        pool.endpoint("e3").setPosition(new LogPosition(2, 10));
        pool.endpoint("e1").setPosition(new LogPosition(2, 10));
        pool.endpoint("e2").setPosition(new LogPosition(2, 10));
        pool.updateEndpoint(pool.endpoint("e3").entry("group", "dc-e3", 9), VMS);
        pool.advance(1_000);
        caller.read("r1");
        pool.advance(300);
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void leavesAWriteInDoubtWhenItsConnectionBreaks() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.endpoint("e1").setWorkMillis(50);
        caller.write("w1");
        pool.advance(60);
        pool.endpoint("e1").breakConnections();
        pool.advance(500);
        assertEquals(ErrorCode.IN_DOUBT, caller.lastError());
        assertTrue(pool.endpoint("e1").executedStatements().size() <= 1);
    }

    @Test
    void repeatsAReadElsewhereWhenItsConnectionBreaks() {
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.read("warm");
        pool.advance(600);
        pool.endpoint("e2").setWorkMillis(50);
        caller.read("r1");
        pool.advance(30);
        pool.endpoint("e2").breakConnections();
        pool.advance(200);
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void abortsATransactionWhoseConnectionBreaksBeforeItsCommit() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        pool.advance(100);
        assertEquals(TransactionStatus.OPEN, caller.lastReply().status());
        pool.endpoint("e1").setWorkMillis(50);
        caller.write("w2");
        pool.advance(10);
        pool.endpoint("e1").breakConnections();
        pool.advance(50);
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        assertEquals(TransactionStatus.FAILED, caller.lastReply().status());
        caller.send("r", new CallerStatement.Rollback());
        assertEquals(TransactionStatus.IDLE, caller.lastReply().status());
    }

    @Test
    void leavesACommitInDoubtWhenItsConnectionBreaks() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        pool.advance(100);
        pool.endpoint("e1").setWorkMillis(50);
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(10);
        pool.endpoint("e1").breakConnections();
        pool.advance(50);
        assertEquals(ErrorCode.IN_DOUBT, caller.lastError());
        assertEquals(TransactionStatus.IDLE, caller.lastReply().status());
    }

    @Test
    void refusesACommitOfAFailedTransaction() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        pool.advance(100);
        pool.endpoint("e1").crash();
        caller.write("w2");
        pool.advance(50);
        caller.read("r1");
        assertEquals(ErrorCode.MALFORMED, caller.lastError());
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        assertEquals(TransactionStatus.IDLE, caller.lastReply().status());
    }

    @Test
    void endsATransactionThatStaysIdle() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        pool.advance(3_200);
        caller.write("w2");
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        assertEquals(List.of("w1"), pool.endpoint("e1").executedStatements());
    }

    @Test
    void refusesAWithdrawnKeyOfACallerThatIsConnected() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        pool.advance(100);
        pool.configure(TestPool.catalog(CONNECTIONS, Map.of("other-key", TestPool.account("large"))), VMS);
        caller.write("w2");
        assertEquals(ErrorCode.KEY_UNKNOWN, caller.lastError());
        caller.send("r", new CallerStatement.Rollback());
        caller.read("r1");
        assertEquals(ErrorCode.KEY_UNKNOWN, caller.lastError());
        assertEquals(List.of("w1"), pool.endpoint("e1").executedStatements());
    }

    /** Guards against a transaction that goes on for the client account that no longer holds the caller's key. */
    @Test
    void endsATransactionWhoseKeyNowBelongsToAnotherAccount() {
        for (boolean readOnly : List.of(false, true)) {
            giveKeyTo("small");
            FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
            caller.send("b", new CallerStatement.Begin(readOnly));
            caller.read("before");
            pool.advance(100);
            assertTrue(caller.lastReply().succeeded());
            giveKeyTo("large");
            caller.read("after");
            pool.advance(100);
            assertEquals(ErrorCode.ABORTED, caller.lastError());
            caller.send("r", new CallerStatement.Rollback());
            caller.read("next");
            pool.advance(100);
            assertTrue(caller.lastReply().succeeded());
        }
        assertEquals(List.of(), executed("after"));
    }

    /** Guards against a commit for the client account that no longer holds the caller's key. */
    @Test
    void commitsNothingOnceTheKeyBelongsToAnotherAccount() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.send("b", new CallerStatement.Begin(false));
        caller.write("w1");
        pool.advance(100);
        giveKeyTo("large");
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        pool.advance(100);
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        assertEquals(TransactionStatus.IDLE, caller.lastReply().status());
        assertEquals(List.of(), executed("c"));
    }

    /** Guards against statements that wait for a connection and then run for an account that has lost the key. */
    @Test
    void runsNoWaitingStatementOnceTheKeyBelongsToAnotherAccount() {
        FakeCaller moved = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        FakeCaller inTransaction = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.advance(100);
        pool.endpoint("e1").setConnectionsExhausted(true);
        pool.endpoint("e1").breakConnections();
        pool.advance(20);
        inTransaction.send("b", new CallerStatement.Begin(false));
        moved.write("w1");
        inTransaction.write("w2");
        pool.advance(20);
        giveKeyTo("large");
        pool.endpoint("e1").setConnectionsExhausted(false);
        pool.advance(1_000);
        assertEquals(ErrorCode.ABORTED, moved.lastError());
        assertEquals(ErrorCode.ABORTED, inTransaction.lastError());
        assertEquals(List.of(), executed("w1"));
        assertEquals(List.of(), executed("w2"));
    }

    private void giveKeyTo(String account) {
        pool.configure(TestPool.catalog(CONNECTIONS, Map.of(TestPool.KEY, TestPool.account(account))), VMS);
    }

    /** Returns the endpoints that executed a statement. */
    private List<String> executed(String statementId) {
        return Stream.of("e1", "e2", "e3")
                .filter(id -> pool.endpoint(id).executedStatements().contains(statementId))
                .toList();
    }

    @Test
    void preparesAStatementWhereItIsExecuted() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.prepareAndExecute("x1");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        caller.send("x2", new CallerStatement.Execute("s2", "a"));
        assertEquals(ErrorCode.STATEMENT_UNKNOWN, caller.lastError());
    }

    @Test
    void answersAtOnceWhenNoPrimaryIsReachable() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.read("r1");
        pool.advance(100);
        pool.endpoint("e1").crash();
        pool.advance(400);
        caller.read("r2");
        pool.advance(60);
        assertEquals(ErrorCode.OVERLOADED, caller.lastError());
    }
}
