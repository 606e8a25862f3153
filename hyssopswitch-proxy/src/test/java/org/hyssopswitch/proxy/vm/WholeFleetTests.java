package org.hyssopswitch.proxy.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.identity.EndpointId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The whole path with membership, configuration, limits and failover at work. */
class WholeFleetTests {

    private static final int PATIENCE = 150;

    private WholeFleet fleet;

    @BeforeEach
    void start() {
        fleet = new WholeFleet();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void servesFromEveryVmAndReadsItsOwnWrites() throws SQLException {
        for (int vm = 0; vm < fleet.size(); vm++) {
            try (Connection connection = await(vm)) {
                for (int i = 0; i < 10; i++) {
                    String key = "k-" + vm + "-" + i;
                    TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('" + key + "', 'a')");
                    String read = "SELECT key FROM kv WHERE key = '" + key + "' /* route='validity' */";
                    assertEquals(List.of(key), TestFleet.rows(connection, read));
                }
            }
        }
    }

    @Test
    void keepsEveryAcknowledgedWriteWhenThePrimaryCrashes() throws SQLException {
        EndpointId first = fleet.group().primary().orElseThrow();
        List<String> acknowledged = new ArrayList<>();
        write("before", acknowledged);
        fleet.group().faults().crash(first);
        for (int i = 0; i < 10; i++) {
            write("after-" + i, acknowledged);
        }
        assertTrue(acknowledged.stream().anyMatch(a -> a.startsWith("after")), "no write after the crash");
        try (Connection connection = await(0)) {
            List<String> rows = TestFleet.rows(connection, "SELECT key FROM kv");
            assertTrue(rows.containsAll(acknowledged), rows + " must contain " + acknowledged);
        }
    }

    @Test
    void endsAWriteInFlightWhenItsFrozenPrimaryIsReplaced() throws SQLException {
        try (Connection connection = await(0)) {
            EndpointId first = fleet.group().primary().orElseThrow();
            fleet.group().faults().freeze(first);
            // The driver gives up sooner than the statement's own deadline: only the replacement ends it in time.
            SQLException unknown = assertThrows(
                    SQLException.class,
                    () -> TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('frozen', 'a')"));
            assertEquals("08007", unknown.getSQLState(), unknown.getMessage());
            assertTrue(unknown.getMessage().contains("replaced"), unknown.getMessage());
        }
        List<String> acknowledged = new ArrayList<>();
        write("after", acknowledged);
        assertTrue(!acknowledged.isEmpty(), "no write after the replacement");
    }

    @Test
    void reportsItsStateOverHttp() throws Exception {
        try (Connection connection = await(0)) {
            TestFleet.rows(connection, "SELECT 1");
        }
        assertEquals("ok\n", get("/live").body());
        assertEquals("ok\n", get("/ready").body());
        String status = awaitEndpointStatus();
        for (String field : List.of("configurationVersion", "configurationAgeMillis", "members", "homes", "role")) {
            assertTrue(status.contains("\"" + field + "\""), status);
        }
        String metrics = get("/metrics").body();
        assertTrue(metrics.contains("account.mare-alta.school.millis"), metrics);
        assertTrue(!metrics.contains(WholeFleet.KEY) && !status.contains(WholeFleet.KEY));
    }

    /**
     * Returns the status of the first VM once its home has received the first status of its endpoint. A statement of a
     * caller does not imply that, because the homes on other VMs may have served it.
     */
    private String awaitEndpointStatus() throws Exception {
        String status = get("/status").body();
        for (int i = 0; i < PATIENCE && !status.contains("\"role\""); i++) {
            pause();
            status = get("/status").body();
        }
        return status;
    }

    private HttpResponse<String> get(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + fleet.vm(0).operationsPort() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private void write(String key, List<String> acknowledged) {
        for (int vm = 0; vm < fleet.size(); vm++) {
            String row = key + "-" + vm;
            try (Connection connection = await(vm)) {
                TestFleet.execute(connection, "INSERT INTO kv (key, value) VALUES ('" + row + "', 'a')");
                acknowledged.add(row);
            } catch (SQLException e) {
                // Refused or unknown while the primary is away; only acknowledged writes count.
                acknowledged.remove(row);
            }
        }
    }

    /** Connects once the VM has learnt the configuration and has been lent a share of the account's rate. */
    private Connection await(int vm) throws SQLException {
        SQLException last = new SQLException("never tried");
        for (int i = 0; i < PATIENCE; i++) {
            try {
                Connection connection = fleet.connect(vm);
                TestFleet.rows(connection, "SELECT 1");
                return connection;
            } catch (SQLException e) {
                last = e;
                pause();
            }
        }
        throw new SQLException(fleet.status(vm), last.getSQLState(), last);
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
