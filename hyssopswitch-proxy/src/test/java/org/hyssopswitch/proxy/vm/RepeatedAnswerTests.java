package org.hyssopswitch.proxy.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers with an unmodified driver while an endpoint answers twice, the second time late. */
class RepeatedAnswerTests {

    private static final int STATEMENTS = 40;
    private static final int REPETITIONS = 1_000_000;
    private static final Set<String> ADMITTED_FAILURES = Set.of("08007", "57P03", "57P01");

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet(2);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against a caller getting the rows of an earlier statement. */
    @ParameterizedTest
    @ValueSource(longs = {0, 2, 20})
    void givesEveryReadItsOwnRowsOrAnError(long lateMillis) throws SQLException {
        repeatAll(lateMillis);
        int answered = 0;
        for (int i = 0; i < STATEMENTS; i++) {
            try (Connection connection = fleet.connect(i % 2)) {
                assertEquals(List.of("v" + i), TestFleet.rows(connection, "SELECT 'v" + i + "'"));
                answered++;
            } catch (SQLException e) {
                assertTrue(ADMITTED_FAILURES.contains(e.getSQLState()), e::toString);
            }
        }
        assertTrue(answered > 0, "no statement was answered");
    }

    /** Guards against a write that is acknowledged and missing, or refused as not run and there. */
    @Test
    void acknowledgesOnlyWritesThatRanAndRefusesOnlyThoseThatDidNot() throws SQLException {
        repeatAll(2);
        List<String> acknowledged = new ArrayList<>();
        List<String> notRun = new ArrayList<>();
        for (int i = 0; i < STATEMENTS; i++) {
            String key = "k" + i;
            try (Connection connection = fleet.connect(i % 2)) {
                TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('" + key + "', 'a')");
                acknowledged.add(key);
            } catch (SQLException e) {
                assertTrue(ADMITTED_FAILURES.contains(e.getSQLState()), e::toString);
                if (!"08007".equals(e.getSQLState())) {
                    notRun.add(key);
                }
            }
        }
        fleet.group().endpoints().forEach(e -> fleet.group().faults().repeatAnswers(e, 0, 0));
        Set<String> found = new HashSet<>(keys());
        assertTrue(found.containsAll(acknowledged), () -> "missing of " + acknowledged);
        assertTrue(notRun.stream().noneMatch(found::contains), () -> "ran of " + notRun);
        assertTrue(!acknowledged.isEmpty(), "no write was acknowledged");
    }

    private void repeatAll(long lateMillis) {
        fleet.group().endpoints().forEach(e -> fleet.group().faults().repeatAnswers(e, REPETITIONS, lateMillis));
    }

    /** Connections with repetitions on the way may still break. */
    private List<String> keys() throws SQLException {
        SQLException last = new SQLException("not read");
        for (int attempt = 0; attempt < 20; attempt++) {
            try (Connection connection = fleet.connect(0)) {
                return TestFleet.rows(connection, "SELECT key FROM kv");
            } catch (SQLException e) {
                last = e;
            }
        }
        throw last;
    }
}
