package org.hyssopswitch.proxy.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An unmodified driver through two VMs, one of which is not home to the primary. */
class DriverPathTests {

    private static TestFleet fleet;

    @BeforeAll
    static void start() {
        fleet = new TestFleet(2);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void runsSimpleStatements(int vm) throws SQLException {
        try (Connection connection = fleet.connect(vm)) {
            TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('simple" + vm + "', 'a')");
            assertEquals(
                    List.of("a"), TestFleet.rows(connection, "SELECT value FROM kv WHERE key = 'simple" + vm + "'"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"extended", "extendedForPrepared", "extendedCacheEverything"})
    void runsPreparedStatementsMoreOftenThanTheDriverTakesToPrepareThemAtTheServer(String mode) throws SQLException {
        try (Connection connection = fleet.connect(1, "school", TestFleet.KEY, Map.of("preferQueryMode", mode));
                PreparedStatement insert =
                        connection.prepareStatement("INSERT INTO ledger (account, request, amount) VALUES (?, ?, ?)");
                PreparedStatement select = connection.prepareStatement(
                        "SELECT request FROM ledger WHERE account = ? AND request = ? /* route='validity' */")) {
            for (int i = 0; i < 20; i++) {
                insert.setString(1, mode);
                insert.setString(2, "r" + i);
                insert.setLong(3, i);
                assertEquals(1, insert.executeUpdate());
                select.setString(1, mode);
                select.setString(2, "r" + i);
                try (ResultSet result = select.executeQuery()) {
                    assertTrue(result.next());
                    assertEquals("r" + i, result.getString(1));
                }
            }
        }
    }

    @Test
    void runsAllStatementsOfADriverThatUsesTheSimpleProtocolOnly() throws SQLException {
        try (Connection connection = fleet.connect(1, "school", TestFleet.KEY, Map.of("preferQueryMode", "simple"))) {
            connection.setAutoCommit(false);
            TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('only-simple', 'a')");
            connection.commit();
            connection.setAutoCommit(true);
            assertEquals(List.of("a"), TestFleet.rows(connection, "SELECT value FROM kv WHERE key = 'only-simple'"));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void commitsAndRollsBackTransactions(int vm) throws SQLException {
        String key = "tx" + vm;
        try (Connection connection = fleet.connect(vm)) {
            connection.setAutoCommit(false);
            TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('" + key + "', 'a')");
            TestFleet.execute(connection, "UPDATE kv SET value = 'b' WHERE key = '" + key + "'");
            connection.commit();
            TestFleet.execute(connection, "UPDATE kv SET value = 'c' WHERE key = '" + key + "'");
            connection.rollback();
            assertEquals(List.of("b"), TestFleet.rows(connection, "SELECT value FROM kv WHERE key = '" + key + "'"));
            connection.commit();
        }
    }

    @ParameterizedTest
    @CsvSource({"42601, SELECT nothing FROM kv", "22P02, SELECT pg_sleep('long')"})
    void passesErrorsOnWithTheirSqlState(String sqlState, String sql) throws SQLException {
        try (Connection connection = fleet.connect(1)) {
            SQLException error = assertThrows(SQLException.class, () -> TestFleet.execute(connection, sql));
            assertEquals(sqlState, error.getSQLState());
            assertEquals(List.of("1"), TestFleet.rows(connection, "SELECT 1"));
        }
    }

    @Test
    void refusesWritesOnARouteDeclaredAsARead() throws SQLException {
        try (Connection connection = fleet.connect(0)) {
            SQLException error = assertThrows(
                    SQLException.class,
                    () -> TestFleet.execute(
                            connection, "INSERT INTO kv (key, value) VALUES ('no', 'a') /* route='validity' */"));
            assertEquals("25006", error.getSQLState());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "school, wrong, certificates, 28P01",
        "nobody, school-key, certificates, 28P01",
        "school/unknown, school-key, certificates, 28P01",
        "Not An Account, school-key, certificates, 28P01",
        "school, school-key, orders, 3D000",
        "school, school-key, NO SUCH NAME, 3D000",
        "open, x, orders, 3D000",
    })
    void refusesLoginsWithATypedError(String user, String key, String database, String sqlState) {
        SQLException error = assertThrows(SQLException.class, () -> fleet.connect(0, user, key, database, Map.of()));
        assertEquals(sqlState, error.getSQLState());
    }

    @Test
    void letsCallersWithoutAKeyUseOpenRoutesOnly() throws SQLException {
        try (Connection connection = fleet.connect(0, "open", "", Map.of())) {
            assertEquals(List.of("1"), TestFleet.rows(connection, "SELECT 1 /* route='validity' */"));
            for (String sql : List.of("SELECT 1", "SELECT 1 /* route='latest' */", "BEGIN")) {
                SQLException error = assertThrows(SQLException.class, () -> TestFleet.execute(connection, sql));
                assertEquals("28P01", error.getSQLState());
            }
        }
    }

    @Test
    void refusesAnUndeclaredRoute() throws SQLException {
        try (Connection connection = fleet.connect(0)) {
            SQLException error = assertThrows(
                    SQLException.class, () -> TestFleet.execute(connection, "SELECT 1 /* route='typo' */"));
            assertEquals("42704", error.getSQLState());
        }
    }
}
