package org.hyssopswitch.proxy.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Try;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.hyssopswitch.core.configuration.Rate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sessions while keys are withdrawn, statements cancelled and VMs killed. */
class SessionFaultTests {

    private static final String LIMITED_INSERT = "INSERT INTO ledger (account, request, amount) VALUES ('l', 'r', 1)";
    private static final String LIMITED_ROWS = "SELECT request FROM ledger WHERE account = 'l'";

    private static final int PATIENCE = 500;

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet(2);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void endsAnOpenSessionWhoseKeyIsWithdrawn() throws SQLException {
        try (Connection withdrawn = fleet.connect(0);
                Connection other = fleet.connect(0, "agency", TestFleet.OTHER_KEY, Map.of())) {
            TestFleet.execute(withdrawn, "INSERT INTO kv (key, value) VALUES ('before', 'a')");
            fleet.configure(List.of(TestFleet.account("agency", TestFleet.OTHER_KEY, new Rate(1_000, 1_000))));
            SQLException error = awaitFailure(withdrawn, "SELECT 1");
            assertEquals("28000", error.getSQLState());
            assertEquals(List.of("1"), TestFleet.rows(other, "SELECT 1"));
            awaitRefusedLogin(1);
        }
    }

    @Test
    void rollsBackTheTransactionOfAWithdrawnKey() throws SQLException {
        try (Connection withdrawn = fleet.connect(0);
                Connection other = fleet.connect(0, "agency", TestFleet.OTHER_KEY, Map.of())) {
            withdrawn.setAutoCommit(false);
            TestFleet.execute(withdrawn, "INSERT INTO kv (key, value) VALUES ('half', 'a')");
            fleet.configure(List.of(TestFleet.account("agency", TestFleet.OTHER_KEY, new Rate(1_000, 1_000))));
            assertEquals("28000", awaitFailure(withdrawn, "SELECT 1").getSQLState());
            assertEquals(List.of(), TestFleet.rows(other, "SELECT key FROM kv WHERE key = 'half'"));
        }
    }

    @Test
    void refusesBeyondTheRateWithoutRunning() throws SQLException {
        fleet.configure(List.of(
                TestFleet.account("school", TestFleet.KEY, new Rate(0.002, 4)),
                TestFleet.account("agency", TestFleet.OTHER_KEY, new Rate(1_000, 1_000))));
        try (Connection limited = fleet.connect(0);
                Connection other = fleet.connect(0, "agency", TestFleet.OTHER_KEY, Map.of())) {
            SQLException error = awaitFailure(limited, LIMITED_INSERT);
            assertEquals("53400", error.getSQLState());
            int before = TestFleet.rows(other, LIMITED_ROWS).size();
            for (int i = 0; i < PATIENCE; i++) {
                Try.run(() -> TestFleet.execute(limited, LIMITED_INSERT));
            }
            int admitted = TestFleet.rows(other, LIMITED_ROWS).size() - before;
            assertTrue(admitted <= 4, "admitted beyond the burst of 4: " + admitted);
        }
    }

    @Test
    void runsNothingBehindTheRefusedStartOfATransaction() throws SQLException {
        Map<String, String> unknownRoute = Map.of("options", "-c hyssop.route=unknown");
        try (Connection refused = fleet.connect(0, "school", TestFleet.KEY, unknownRoute);
                Connection other = fleet.connect(0)) {
            refused.setAutoCommit(false);
            String insert = "/* route='record' */ INSERT INTO kv (key, value) VALUES ('behind', 'a')";
            SQLException error = assertThrows(SQLException.class, () -> TestFleet.execute(refused, insert));
            assertEquals("42704", error.getSQLState(), error.getMessage());
            assertEquals(List.of(), TestFleet.rows(other, "SELECT key FROM kv WHERE key = 'behind'"));
        }
    }

    @Test
    void cancelsTheStatementOfTheSessionThatAsksAndNoOther() throws Exception {
        try (Connection cancelled = fleet.connect(1);
                Connection other = fleet.connect(1);
                Statement statement = cancelled.createStatement()) {
            CompletableFuture<Boolean> running = run(statement, "SELECT pg_sleep(15)");
            CompletableFuture<Boolean> undisturbed = run(other.createStatement(), "SELECT pg_sleep(1)");
            while (!running.isDone()) {
                statement.cancel();
            }
            ExecutionException failure = assertThrows(ExecutionException.class, running::get);
            assertEquals("57014", ((SQLException) failure.getCause()).getSQLState());
            assertTrue(undisturbed.get());
            assertEquals(List.of("1"), TestFleet.rows(cancelled, "SELECT 1"));
        }
    }

    @Test
    void keepsSessionStateOfOneAccountFromAnother() throws SQLException {
        for (int i = 0; i < 20; i++) {
            try (Connection school = fleet.connect(0);
                    Connection agency = fleet.connect(0, "agency", TestFleet.OTHER_KEY, Map.of())) {
                TestFleet.execute(school, "SET search_path = 'private'");
                assertFalse(TestFleet.rows(agency, "SHOW search_path").contains("private"));
            }
        }
    }

    @Test
    void rollsBackAndSaysUnknownWhenTheHomeDiesInsideATransaction() throws SQLException {
        int home = fleet.homeOfPrimary();
        int entry = 1 - home;
        try (Connection connection = fleet.connect(entry)) {
            connection.setAutoCommit(false);
            TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('lost', 'a')");
            fleet.membership().remove(fleet.vm(home).self());
            fleet.vm(home).close();
            SQLException error = assertThrows(SQLException.class, connection::commit);
            assertEquals("08007", error.getSQLState());
        }
        try (Connection connection = fleet.connect(entry)) {
            assertEquals(List.of(), TestFleet.rows(connection, "SELECT key FROM kv WHERE key = 'lost'"));
            TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('after', 'a')");
            assertEquals(List.of("after"), TestFleet.rows(connection, "SELECT key FROM kv WHERE key = 'after'"));
        }
    }

    @Test
    void rollsBackTheTransactionOfACallerThatDisappears() throws SQLException {
        Connection gone = fleet.connect(0);
        gone.setAutoCommit(false);
        TestFleet.execute(gone, "INSERT INTO kv (key, value) VALUES ('gone', 'a')");
        gone.abort(Runnable::run);
        try (Connection connection = fleet.connect(1)) {
            assertEquals(List.of(), TestFleet.rows(connection, "SELECT key FROM kv WHERE key = 'gone'"));
        }
    }

    @Test
    void shutsDownWithoutCuttingARunningTransaction() throws Exception {
        try (Connection busy = fleet.connect(0);
                Connection idle = fleet.connect(0);
                Connection elsewhere = fleet.connect(1)) {
            TestFleet.execute(idle, "SELECT 1");
            busy.setAutoCommit(false);
            TestFleet.execute(busy, "INSERT INTO kv (key, value) VALUES ('drained', 'a')");
            var stopped = fleet.vm(0).shutdown().toCompletableFuture();
            assertEquals("57P01", awaitFailure(idle, "SELECT 1").getSQLState());
            assertFalse(stopped.isDone());
            assertThrows(SQLException.class, () -> fleet.connect(0));
            TestFleet.execute(busy, "UPDATE kv SET value = 'b' WHERE key = 'drained'");
            busy.commit();
            assertTrue(stopped.get());
            assertEquals(List.of("b"), TestFleet.rows(elsewhere, "SELECT value FROM kv WHERE key = 'drained'"));
        }
    }

    /** Guards against a statement that is cut off at the end of the drain, in a transaction that is used without a pause. */
    @Test
    void endsATransactionInSteadyUseBetweenTwoStatements() throws Exception {
        try (Connection busy = fleet.connect(0)) {
            busy.setAutoCommit(false);
            TestFleet.execute(busy, "INSERT INTO kv (key, value) VALUES ('steady', 'a')");
            var stopped = fleet.vm(0).shutdown().toCompletableFuture();
            SQLException end = assertThrows(SQLException.class, () -> {
                while (!stopped.isDone()) {
                    TestFleet.execute(busy, "UPDATE kv SET value = 'b' WHERE key = 'steady'");
                }
            });
            assertEquals("57P01", end.getSQLState(), end.getMessage());
            assertTrue(stopped.get(), "the drain ended with a request at work");
        }
    }

    /** Repeats a statement until a change that spreads in the background has taken effect. */
    private static SQLException awaitFailure(Connection connection, String sql) {
        for (int i = 0; i < PATIENCE; i++) {
            try {
                TestFleet.execute(connection, sql);
            } catch (SQLException e) {
                return e;
            }
        }
        throw new AssertionError("the statement still succeeds: " + sql);
    }

    private static CompletableFuture<Boolean> run(Statement statement, String sql) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        new Thread(() -> {
                    try {
                        result.complete(statement.execute(sql));
                    } catch (SQLException e) {
                        result.completeExceptionally(e);
                    }
                })
                .start();
        return result;
    }

    /** Connects until the VM has the new configuration; a login that crosses the change may end with 28000 instead. */
    private void awaitRefusedLogin(int vm) {
        String state = "";
        for (int i = 0; i < PATIENCE && !state.equals("28P01"); i++) {
            state = Try.of(() -> fleet.connect(vm))
                    .peek(c -> Try.run(c::close))
                    .map(c -> "")
                    .recover(SQLException.class, SQLException::getSQLState)
                    .get();
            Try.run(() -> Thread.sleep(20));
        }
        assertEquals("28P01", state);
    }
}
