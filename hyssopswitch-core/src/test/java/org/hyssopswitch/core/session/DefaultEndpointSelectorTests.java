package org.hyssopswitch.core.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DefaultEndpointSelectorTests {

    private static final DatabaseId DATABASE = new DatabaseId("renewals");
    private static final long NOW = 100_000;
    private static final SelectionTimeouts TIMEOUTS = new SelectionTimeouts(10, 1_000, 5);

    private final EndpointTable table = new EndpointTable();
    private final DefaultEndpointSelector selector =
            new DefaultEndpointSelector(table, new DataCentreId("dc1"), TIMEOUTS, new SplittableRandom(1));

    @BeforeEach
    void declareAGroupWithPrimaryInTheFirstDataCentre() {
        declare("");
        observe("e0", EndpointRole.PRIMARY, 3, 100, 0, 0);
        observe("e1", EndpointRole.REPLICA, 3, 100, 0, 0);
        observe("e2", EndpointRole.REPLICA, 3, 90, 0, 0);
    }

    @ParameterizedTest
    @CsvSource({
        "write, 0, 0, use e0 confirmed",
        "read 0, 0, 0, use e0 confirmed",
        "read 1000, 3, 95, use e1",
        "read 1000, 3, 100, use e1",
        "read 1000, 3, 101, wait",
        "read 1000, 4, 1, wait",
        "write, 4, 1, wait"
    })
    void choosesByFloorAndAge(String route, long term, long offset, String expected) {
        assertEquals(expected, choose(route, new LogPosition(term, offset), NOW));
    }

    @Test
    void prefersTheOwnDataCentreAndThenTheLeastLoaded() {
        observe("e2", EndpointRole.REPLICA, 3, 100, 0, 0);
        Map<String, Long> counts = IntStream.range(0, 10)
                .mapToObj(i -> choose("read 1000", LogPosition.ZERO, NOW))
                .collect(Collectors.groupingBy(c -> c, Collectors.counting()));
        assertTrue(counts.get("use e1") > counts.get("use e2"), counts::toString);
        assertEquals(Set.of("use e1", "use e2"), counts.keySet());
    }

    @Test
    void selectsThePrimaryUnconfirmedOnlyWhileAMajorityIsInContactWithIt() {
        observe("e1", EndpointRole.REPLICA, 3, 100, 900, 5_000);
        observe("e2", EndpointRole.REPLICA, 3, 90, 5_000, 5_000);
        assertEquals("use e0", choose("read 1000", LogPosition.ZERO, NOW));
        assertEquals("use e0 confirmed", choose("read 500", LogPosition.ZERO, NOW));
    }

    @Test
    void selectsThePrimaryWhenTheWaitForAReplicaTimesOut() {
        assertEquals("use e0", choose("read 1000", new LogPosition(3, 101), NOW, NOW - 10));
    }

    @Test
    void reportsUnavailableWhenTheWaitForAPrimaryTimesOut() {
        assertEquals("unavailable", choose("write", new LogPosition(4, 1), NOW, NOW - 1_000));
    }

    @Test
    void excludesLeavingEndpoints() {
        declare("e0");
        assertEquals("wait", choose("write", LogPosition.ZERO, NOW));
        declare("e1");
        assertEquals("use e2", choose("read 1000", LogPosition.ZERO, NOW));
    }

    @Test
    void selectsThePrimaryOfTheHighestTerm() {
        observe("e2", EndpointRole.PRIMARY, 4, 91, 0, 0);
        assertEquals("use e2 confirmed", choose("write", LogPosition.ZERO, NOW));
    }

    @Test
    void sendsNoWriteToAPrimaryOnceAMajorityAcceptedAHigherTerm() {
        observe("e1", EndpointRole.FENCED, 4, 100, 0, 0);
        assertEquals("use e0 confirmed", choose("write", LogPosition.ZERO, NOW));
        observe("e2", EndpointRole.FENCED, 4, 90, 0, 0);
        assertEquals("wait", choose("write", LogPosition.ZERO, NOW));
    }

    @Test
    void ignoresAHintOfALowerTermThanKnown() {
        observe("e0", EndpointRole.REPLICA, 4, 100, 0, 0);
        observe("e0", EndpointRole.PRIMARY, 3, 120, 0, 0);
        assertEquals("wait", choose("write", LogPosition.ZERO, NOW));
    }

    @Test
    void evictsEndpointsOfIdleDatabases() {
        choose("write", LogPosition.ZERO, NOW);
        table.expire(NOW + 120_000);
        assertEquals(0, table.size());
    }

    private String choose(String route, LogPosition floor, long now) {
        return choose(route, floor, now, now);
    }

    private String choose(String route, LogPosition floor, long now, long arrived) {
        boolean read = route.startsWith("read");
        long age = read ? Long.parseLong(route.substring(5)) : 0;
        RouteDeclaration declared = new RouteDeclaration(new RouteId("r"), DATABASE, read, age, false, false);
        Selection selection = selector.select(new SelectionRequest(declared, floor, Set.of(), arrived), now);
        if (selection instanceof Selection.Use use) {
            return "use " + use.endpoint() + (use.confirm() ? " confirmed" : "");
        }
        return selection instanceof Selection.Wait ? "wait" : "unavailable";
    }

    private void observe(String id, EndpointRole role, long term, long offset, long contact, long age) {
        EndpointStatus status = new EndpointStatus(
                new EndpointId(id), role, term, new LogPosition(Math.min(term, 3), offset), 0, contact, age);
        table.observe(new EndpointHint(status, 0, 0), NOW);
    }

    private void declare(String leaving) {
        List<EndpointDeclaration> endpoints = Stream.of("e0", "e1", "e2")
                .map(id -> new EndpointDeclaration(
                        new EndpointId(id),
                        new DataCentreId("dc" + id.substring(1)),
                        new CellId("c"),
                        "127.0.0.1",
                        5432,
                        id.equals(leaving)))
                .toList();
        DatabaseDeclaration database = new DatabaseDeclaration(DATABASE, endpoints, 2, 16);
        TeamId team = new TeamId("t");
        table.configure(new Configuration(
                1, Map.of(team, new TeamConfiguration(team, 1, List.of(database), List.of(), List.of()))));
    }
}
