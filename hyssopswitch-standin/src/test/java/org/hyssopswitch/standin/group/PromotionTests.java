package org.hyssopswitch.standin.group;

import static org.hyssopswitch.standin.group.GroupConnections.execute;
import static org.hyssopswitch.standin.group.GroupConnections.rows;
import static org.hyssopswitch.standin.group.GroupConnections.writer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromotionTests {

    private static final long FAR_BEHIND_MILLIS = 600_000;

    private DatabaseGroupServer group;
    private EndpointId first;
    private EndpointId second;
    private EndpointId third;

    @BeforeEach
    void start() {
        group = new DatabaseGroupServer(GroupSettings.of("orders", 3));
        group.start();
        first = group.endpoints().get(0);
        second = group.endpoints().get(1);
        third = group.endpoints().get(2);
    }

    @AfterEach
    void stop() {
        group.close();
    }

    /** Calls are fence, promote or follow, with a term and an orderer or primary; the last one is judged. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "fence 2 a                           | true  | FENCED  | 2",
                "fence 2 a, fence 2 a                | true  | FENCED  | 2",
                "fence 2 a, fence 2 b                | false | FENCED  | 2",
                "fence 1 a                           | false | REPLICA | 1",
                "fence 3 a, fence 2 a                | false | FENCED  | 3",
                "fence 2 a, promote 2 a              | true  | PRIMARY | 2",
                "fence 2 a, promote 2 b              | false | FENCED  | 2",
                "promote 2 a                         | false | REPLICA | 1",
                "fence 2 a, promote 2 a, promote 2 a | true  | PRIMARY | 2",
                "fence 2 a, promote 2 a, fence 2 a   | true  | PRIMARY | 2",
                "fence 2 a, promote 2 a, fence 3 b   | true  | FENCED  | 3",
                "fence 2 a, fence 3 b, promote 2 a   | false | FENCED  | 3",
                "fence 2 a, follow 2 orders-3        | true  | REPLICA | 2",
                "follow 2 orders-3                   | true  | REPLICA | 2",
                "follow 2 orders-3, fence 2 a        | false | REPLICA | 2",
                "follow 2 orders-3, promote 2 a      | false | REPLICA | 2",
                "follow 2 orders-3, follow 2 orders-1 | false | REPLICA | 2",
                "follow 2 orders-2                   | false | REPLICA | 1",
                "fence 3 a, follow 2 orders-3        | false | FENCED  | 3",
                "fence 2 a, promote 2 a, follow 2 orders-3 | false | PRIMARY | 2",
            })
    void acceptsATermFromOneOrdererOnly(String calls, boolean accepted, EndpointRole role, long term)
            throws SQLException {
        try (Connection connection = writer(group, 1)) {
            String last = "";
            for (String call : calls.split(", ")) {
                String[] words = call.trim().split(" ");
                String sql =
                        String.format(Locale.ROOT, "SELECT * FROM hyssop_%s(%s, '%s')", words[0], words[1], words[2]);
                last = rows(connection, sql).get(0);
            }
            assertEquals(Boolean.toString(accepted), last.split(",")[0]);
            assertEquals(role, group.status(second).role());
            assertEquals(term, group.status(second).acceptedTerm());
        }
    }

    @Test
    void refusesWritesOfTheFencedPrimaryWithNothingRun() throws SQLException {
        try (Connection connection = writer(group, 0)) {
            connection.setAutoCommit(false);
            execute(connection, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            fence(first, 2);
            assertEquals(
                    "25006",
                    assertThrows(SQLException.class, connection::commit).getSQLState());
            SQLException write = assertThrows(
                    SQLException.class, () -> execute(connection, "INSERT INTO kv (key, value) VALUES ('b', '1')"));
            assertEquals("25006", write.getSQLState());
            connection.rollback();
            assertEquals(List.of(), rows(connection, "SELECT key FROM kv"));
        }
    }

    @Test
    void refusesTheCommitOfATransactionThatBeganInAnEarlierTerm() throws SQLException {
        try (Connection connection = writer(group, 0)) {
            connection.setAutoCommit(false);
            execute(connection, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            fence(first, 2);
            assertTrue(group.control(first, new ControlRequest.Promote(2, "vm")).accepted());
            assertThrows(SQLException.class, connection::commit);
            assertEquals(List.of(), rows(connection, "SELECT key FROM kv"));
        }
    }

    @Test
    void truncatesADivergentLogAndStreamsTheNewOne() throws SQLException {
        try (Connection old = writer(group, 0);
                Connection promoted = writer(group, 1)) {
            execute(old, "INSERT INTO kv (key, value) VALUES ('kept', '1')");
            awaitApplied(second, group.status(first).applied());
            group.faults().partition(List.of(Set.of(first)));
            execute(old, "INSERT INTO kv (key, value) VALUES ('lost', '1')");
            execute(old, "INSERT INTO kv (key, value) VALUES ('lost2', '1')");
            promoteSecond();
            execute(promoted, "INSERT INTO kv (key, value) VALUES ('new', '1')");
            assertTrue(
                    group.control(first, new ControlRequest.Follow(2, second)).accepted());
            assertEquals(List.of("kept", "lost", "lost2"), rows(old, "SELECT key FROM kv"));
            group.faults().partition(List.of());
            awaitApplied(first, group.status(second).applied());
            assertEquals(List.of("kept", "new"), rows(old, "SELECT key FROM kv"));
            assertEquals(group.status(second).termStart(), group.status(first).termStart());
        }
    }

    @Test
    void doesNotTakeEntriesOfAReplacedPrimary() throws SQLException {
        try (Connection old = writer(group, 0)) {
            group.faults().setLagMillis(third, FAR_BEHIND_MILLIS);
            execute(old, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            LogPosition before = group.status(third).applied();
            fence(third, 2);
            group.faults().setLagMillis(third, 0);
            assertEquals(before, group.status(third).applied());
        }
    }

    @Test
    void answersAnAwaitOnceThePositionIsAppliedInItsTerm() throws Exception {
        group.faults().setLagMillis(second, FAR_BEHIND_MILLIS);
        try (Connection primary = writer(group, 0);
                Connection replica = writer(group, 1)) {
            execute(primary, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            LogPosition position = group.status(first).applied();
            CompletableFuture<String> await = await(replica, position.term(), position.offset());
            assertEquals(1, rows(primary, "SELECT * FROM hyssop_status()").size());
            assertFalse(await.isDone());
            group.faults().setLagMillis(second, 0);
            assertTrue(await.get().startsWith("true,"), await::join);
        }
    }

    @Test
    void refusesAnAwaitOnceAHigherTermIsAccepted() throws Exception {
        try (Connection replica = writer(group, 1)) {
            CompletableFuture<String> await = await(replica, 1, 1_000);
            fence(second, 2);
            assertTrue(await.get().startsWith("false,orders-2,fenced,2,"), await::join);
        }
    }

    @Test
    void doesNotConfirmAnOffsetThatAnotherTermWrote() throws Exception {
        try (Connection promoted = writer(group, 1);
                Connection replica = writer(group, 2)) {
            long offset = group.status(third).applied().offset();
            promoteSecond();
            CompletableFuture<String> await = await(replica, 2, offset);
            assertTrue(
                    group.control(third, new ControlRequest.Follow(2, second)).accepted());
            execute(promoted, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            assertTrue(await.get().startsWith("true,orders-3,replica,2,2,"), await::join);
        }
    }

    @Test
    void keepsAFrozenEndpointSilentAndUnchangedUntilItResumes() throws Exception {
        try (Connection replica = writer(group, 1);
                Connection primary = writer(group, 0)) {
            LogPosition before = group.status(second).applied();
            group.faults().freeze(second);
            execute(primary, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            CompletableFuture<String> answer = query(replica, "SELECT count(*) FROM kv");
            assertEquals(before, group.status(second).applied());
            assertFalse(answer.isDone());
            group.faults().resume(second);
            assertTrue(Set.of("0", "1").contains(answer.get()), answer::join);
            awaitApplied(second, group.status(first).applied());
        }
    }

    @Test
    void holdsBackACutClientOnly() throws Exception {
        try (Connection cut = writer(group, 0);
                Connection other =
                        GroupConnections.open(group, 0, group.settings().writer(), "vm-2/1")) {
            group.faults().cutClients(first, "vm-1/");
            CompletableFuture<String> answer = query(cut, "SELECT 1");
            assertEquals(List.of("1"), rows(other, "SELECT 1"));
            assertFalse(answer.isDone());
            group.faults().healClients();
            assertEquals("1", answer.get());
        }
    }

    @Test
    void dropsConnectionsInACrashAndKeepsTheLog() throws SQLException {
        try (Connection connection = writer(group, 0)) {
            execute(connection, "INSERT INTO kv (key, value) VALUES ('a', '1')");
            group.faults().crash(first);
            assertThrows(SQLException.class, () -> rows(connection, "SELECT 1"));
            assertThrows(SQLException.class, () -> writer(group, 0));
        }
        group.faults().restart(first);
        try (Connection connection = writer(group, 0)) {
            assertEquals(List.of("a"), rows(connection, "SELECT key FROM kv"));
        }
    }

    /** The port of a closed listener stays in use until its selector has run. */
    @Test
    void restartsOnTheSamePortRightAfterACrash() throws SQLException {
        int port = group.port(first);
        for (int i = 0; i < 1000; i++) {
            group.faults().crash(first);
            group.faults().restart(first);
        }
        assertEquals(port, group.port(first));
        try (Connection connection = writer(group, 0)) {
            assertEquals(List.of("1"), rows(connection, "SELECT 1"));
        }
    }

    private void promoteSecond() {
        fence(second, 2);
        fence(third, 2);
        assertTrue(group.control(second, new ControlRequest.Promote(2, "vm")).accepted());
    }

    private void fence(EndpointId endpoint, long term) {
        assertTrue(group.control(endpoint, new ControlRequest.Fence(term, "vm")).accepted());
    }

    private void awaitApplied(EndpointId endpoint, LogPosition position) throws SQLException {
        int index = group.endpoints().indexOf(endpoint);
        try (Connection connection = writer(group, index)) {
            String sql = "SELECT * FROM hyssop_await(" + position.term() + ", " + position.offset() + ")";
            assertTrue(rows(connection, sql).get(0).startsWith("true,"));
        }
        EndpointStatus status = group.status(endpoint);
        assertTrue(status.applied().compareTo(position) >= 0);
    }

    private static CompletableFuture<String> await(Connection connection, long term, long offset) {
        return query(connection, "SELECT * FROM hyssop_await(" + term + ", " + offset + ")");
    }

    private static CompletableFuture<String> query(Connection connection, String sql) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return rows(connection, sql).get(0);
            } catch (SQLException e) {
                throw new AssertionError(e);
            }
        });
    }
}
