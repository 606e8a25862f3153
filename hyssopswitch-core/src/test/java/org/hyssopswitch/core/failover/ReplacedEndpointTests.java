package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.CallIdSequence;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.EndpointTable;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against the loss of an acknowledged write when the declaration replaces an endpoint: a majority of e1, e2 and e3
 * confirmed the write, and a majority of e1, e3 and e4 need not hold it.
 */
class ReplacedEndpointTests {

    private static final VmAddress SELF =
            new VmAddress(new VmId("vm-1"), 1, new DataCentreId("dc"), new CellId("cell"), "10.0.0.1", 7_000);
    private static final LogPosition ACKNOWLEDGED = new LogPosition(1, 190);

    /** Applied positions of the endpoints that run; e1, the primary, has crashed. */
    private final Map<String, LogPosition> running =
            new HashMap<>(Map.of("e2", ACKNOWLEDGED, "e3", new LogPosition(1, 100), "e4", LogPosition.ZERO));

    private final Deque<Action> actions = new ArrayDeque<>();

    @Test
    void promotesTheEndpointThatConfirmedTheWrite() {
        assertHoldsTheWrite(promote("e1", "e2", "e3"));
    }

    /** Listed in KNOWN-RED.txt. */
    @Tag("known-red")
    @Test
    void promotesNoEndpointThatLacksAWriteConfirmedBeforeTheDeclarationChanged() {
        assertHoldsTheWrite(promote("e1", "e3", "e4"));
    }

    private static void assertHoldsTheWrite(PromotionAttempt attempt) {
        assertTrue(
                attempt.promoted().stream().allMatch(status -> status.applied().compareTo(ACKNOWLEDGED) >= 0),
                () -> "promoted " + attempt.promoted());
    }

    private PromotionAttempt promote(String... declared) {
        ControlRouter router =
                new ControlRouter(SELF, endpoint -> List.of(SELF), new EndpointTable(), new CallIdSequence());
        PromotionAttempt attempt = new PromotionAttempt(database(declared), 2, "vm-1/1", Set.of(), 3_000, router);
        attempt.step(0, actions::add);
        while (!actions.isEmpty()) {
            Action.CallEndpoint call = (Action.CallEndpoint) actions.remove();
            if (running.containsKey(call.endpoint().value())) {
                ControlReply reply = new ControlReply(true, status(call.endpoint()));
                router.handle(
                        new Event.EndpointCallCompleted(call.call(), call.endpoint(), Either.right(reply)),
                        10,
                        actions::add);
            }
        }
        router.tick(1_000, actions::add);
        return attempt;
    }

    private EndpointStatus status(EndpointId endpoint) {
        return new EndpointStatus(endpoint, EndpointRole.FENCED, 2, running.get(endpoint.value()), 0, 0, 0);
    }

    private static DatabaseDeclaration database(String... endpoints) {
        List<EndpointDeclaration> declared = Stream.of(endpoints)
                .map(id -> new EndpointDeclaration(
                        new EndpointId(id), new DataCentreId("dc"), new CellId("cell"), "10.0.0.2", 5_432, false))
                .toList();
        return new DatabaseDeclaration(new DatabaseId("team.db"), declared, 2, 16);
    }
}
