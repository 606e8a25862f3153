package org.hyssopswitch.standin.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GroupDriverTests {

    private static final int CONNECTIONS = 4;
    private static final int PAST_SERVER_PREPARE = 8;

    private DatabaseGroupServer group;

    @BeforeEach
    void start() {
        group = new DatabaseGroupServer(GroupSettings.of("orders", 3).withCapacity(2, CONNECTIONS, 1));
        group.start();
    }

    @AfterEach
    void stop() {
        group.close();
    }

    @Test
    void runsSimpleStatements() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0)) {
            GroupConnections.execute(connection, "/* route='w' */ INSERT INTO kv (key, value) VALUES ('a', 'it''s')");
            GroupConnections.execute(connection, "UPDATE kv SET value = 'b' WHERE key = 'a' AND version = 1");
            assertEquals(List.of("b,2"), GroupConnections.rows(connection, "SELECT value, version FROM kv"));
            assertEquals(List.of("1"), GroupConnections.rows(connection, "SELECT 1"));
            assertEquals(List.of("1"), GroupConnections.rows(connection, "SELECT count(*) FROM kv WHERE key = 'a'"));
            assertEquals(Connection.TRANSACTION_READ_COMMITTED, connection.getTransactionIsolation());
            assertEquals(true, connection.isValid(5));
        }
    }

    @Test
    void runsPreparedStatementsAlsoAfterTheDriverNamesThem() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0);
                PreparedStatement insert =
                        connection.prepareStatement("INSERT INTO ledger (account, request, amount) VALUES (?, ?, ?)");
                PreparedStatement select = connection.prepareStatement(
                        "SELECT request, amount FROM ledger WHERE account = ? AND request = ?")) {
            for (int i = 0; i < PAST_SERVER_PREPARE; i++) {
                insert.setString(1, "school");
                insert.setString(2, "r" + i);
                insert.setLong(3, i * 1000L);
                assertEquals(1, insert.executeUpdate());
                select.setString(1, "school");
                select.setString(2, "r" + i);
                try (ResultSet result = select.executeQuery()) {
                    result.next();
                    assertEquals("r" + i + " " + i * 1000L, result.getString(1) + " " + result.getLong(2));
                }
            }
        }
    }

    @Test
    void keepsARepeatedLedgerRowTwice() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0)) {
            String insert = "INSERT INTO ledger (account, request, amount) VALUES ('a', 'r', 1)";
            GroupConnections.execute(connection, insert);
            GroupConnections.execute(connection, insert);
            assertEquals(List.of("2"), GroupConnections.rows(connection, "SELECT count(*) FROM ledger"));
        }
    }

    @Test
    void showsATransactionOnlyToItselfUntilItCommitsAsOneLogEntry() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0);
                Connection other = GroupConnections.writer(group, 0)) {
            LogPosition before = group.status(group.endpoints().get(0)).applied();
            connection.setAutoCommit(false);
            GroupConnections.execute(connection, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            GroupConnections.execute(connection, "INSERT INTO ledger (account, request, amount) VALUES ('a', 'r', 1)");
            assertEquals(List.of("a"), GroupConnections.rows(connection, "SELECT key FROM kv"));
            assertEquals(List.of(), GroupConnections.rows(other, "SELECT key FROM kv"));
            connection.commit();
            assertEquals(List.of("a"), GroupConnections.rows(other, "SELECT key FROM kv"));
            LogPosition after = group.status(group.endpoints().get(0)).applied();
            assertEquals(before.offset() + 1, after.offset());
        }
    }

    @Test
    void rollsBackWhenTheConnectionEndsInTheMiddle() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0)) {
            connection.setAutoCommit(false);
            GroupConnections.execute(connection, "INSERT INTO kv (key, value) VALUES ('a', '1')");
        }
        try (Connection connection = GroupConnections.writer(group, 0)) {
            assertEquals(List.of(), GroupConnections.rows(connection, "SELECT key FROM kv"));
        }
    }

    @Test
    void ignoresStatementsOfAFailedTransactionUntilItsEnd() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0)) {
            connection.setAutoCommit(false);
            GroupConnections.execute(connection, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            assertEquals("23505", state(connection, "INSERT INTO kv (key, value) VALUES ('a', '2')"));
            assertEquals("25P02", state(connection, "SELECT 1"));
            connection.rollback();
            assertEquals(List.of(), GroupConnections.rows(connection, "SELECT key FROM kv"));
        }
    }

    @Test
    void failsAConditionalUpdateWhoseRowChangedBeforeItsCommit() throws SQLException {
        try (Connection first = GroupConnections.writer(group, 0);
                Connection second = GroupConnections.writer(group, 0)) {
            GroupConnections.execute(first, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            first.setAutoCommit(false);
            String update = "UPDATE kv SET value = '2' WHERE key = 'a' AND version = 1";
            GroupConnections.execute(first, update);
            GroupConnections.execute(second, update);
            assertEquals(
                    "40001", assertThrows(SQLException.class, first::commit).getSQLState());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "42601 | DELETE FROM kv",
                "42601 | SELECT nothing FROM kv",
                "42601 | SELECT * FROM certificates",
                "42601 | INSERT INTO kv (key, value) VALUES ('a', 'b') trailing",
                "42601 | SELECT ~",
                "42601 | SELECT * FROM hyssop_unknown()",
                "22P02 | SELECT pg_sleep('long')",
                "22P02 | SELECT * FROM hyssop_fence('x', 'vm')",
                "22P02 | INSERT INTO ledger (account, request, amount) VALUES ('a', 'r', 'much')",
            })
    void refusesOtherStatements(String sqlState, String sql) throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0)) {
            assertEquals(sqlState, state(connection, sql));
            assertEquals(List.of("1"), GroupConnections.rows(connection, "SELECT 1"));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "0 | false | 25006 | INSERT INTO kv (key, value) VALUES ('a', 'b')",
                "0 | false | 25006 | UPDATE kv SET value = 'b'",
                "0 | false | 42501 | SELECT * FROM hyssop_fence(9, 'vm')",
                "1 | true  | 25006 | INSERT INTO ledger (account, request, amount) VALUES ('a', 'r', 1)",
            })
    void refusesWritesOfReadersAndOnReplicas(int endpoint, boolean writer, String sqlState, String sql)
            throws SQLException {
        Credential credential =
                writer ? group.settings().writer() : group.settings().reader();
        try (Connection connection = GroupConnections.open(group, endpoint, credential, "vm-1/1")) {
            assertEquals(sqlState, state(connection, sql));
            assertEquals(List.of(), GroupConnections.rows(connection, "SELECT * FROM ledger"));
        }
    }

    @Test
    void refusesConnectionsOverTheCap() throws SQLException {
        List<Connection> open = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            open.add(GroupConnections.writer(group, 0));
        }
        SQLException refused = assertThrows(SQLException.class, () -> GroupConnections.reader(group, 0));
        assertEquals("53300", refused.getSQLState());
        for (Connection connection : open) {
            connection.close();
        }
        assertEquals(CONNECTIONS, group.statistics(group.endpoints().get(0)).peakConnections());
    }

    @ParameterizedTest
    @CsvSource({"hyssop_writer, wrong, 28P01", "nobody, writer-password, 28P01"})
    void refusesWrongCredentials(String user, String password, String sqlState) {
        SQLException refused = assertThrows(
                SQLException.class, () -> GroupConnections.open(group, 0, new Credential(user, password), "x"));
        assertEquals(sqlState, refused.getSQLState());
    }

    @Test
    void cancelsAStatementAndServesTheNext() throws Exception {
        try (Connection connection = GroupConnections.writer(group, 0);
                Statement statement = connection.createStatement()) {
            Thread canceller = new Thread(() -> cancelWhenRunning(statement));
            canceller.start();
            SQLException cancelled = assertThrows(SQLException.class, () -> statement.execute("SELECT pg_sleep(15)"));
            canceller.join();
            assertEquals("57014", cancelled.getSQLState());
            assertEquals(List.of("1"), GroupConnections.rows(connection, "SELECT 1"));
        }
    }

    @Test
    void takesEffectBeforeASlowAnswer() throws Exception {
        EndpointId first = group.endpoints().get(0);
        try (Connection connection = GroupConnections.writer(group, 0)) {
            LogPosition before = group.status(first).applied();
            group.faults().setSlowMillis(first, 15_000);
            Thread caller = new Thread(() -> state(connection, "INSERT INTO kv (key, value) VALUES ('a', 'b')"));
            caller.setDaemon(true);
            caller.start();
            while (group.status(first).applied().equals(before)) {
                Thread.onSpinWait();
            }
            assertEquals(true, caller.isAlive());
            group.faults().crash(first);
            caller.join();
        }
    }

    @Test
    void limitsSetTransactionToTheCurrentOne() throws SQLException {
        try (Connection connection = GroupConnections.writer(group, 0)) {
            String insert = "INSERT INTO kv (key, value) VALUES ('a', 'b') ON CONFLICT (key) DO NOTHING";
            GroupConnections.execute(connection, "BEGIN");
            GroupConnections.execute(connection, "SET TRANSACTION READ ONLY");
            assertEquals("25006", state(connection, insert));
            GroupConnections.execute(connection, "ROLLBACK");
            GroupConnections.execute(connection, insert);
            GroupConnections.execute(connection, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY");
            assertEquals("25006", state(connection, insert));
        }
    }

    private void cancelWhenRunning(Statement statement) {
        try {
            while (group.statistics(group.endpoints().get(0)).statements() == 0) {
                Thread.sleep(1);
            }
            statement.cancel();
        } catch (SQLException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static String state(Connection connection, String sql) {
        return assertThrows(SQLException.class, () -> GroupConnections.execute(connection, sql))
                .getSQLState();
    }
}
