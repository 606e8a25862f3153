package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.junit.jupiter.api.Test;

class ConfirmationRoundTests {

    private static final EndpointId PRIMARY = new EndpointId("e0");
    private static final EndpointId REPLICA = new EndpointId("e1");
    private static final EndpointId OTHER = new EndpointId("e2");
    private static final long DEADLINE_MILLIS = 1_000;

    private final ConfirmationRound round = new ConfirmationRound(group(), PRIMARY, 3);

    @Test
    void confirmsWithAMajorityThatIncludesThePrimary() {
        round.add(1, 10, DEADLINE_MILLIS);
        round.reached(await(REPLICA));
        round.reached(await(OTHER));
        assertEquals(List.of(), round.takeConfirmed());
        round.reached(await(PRIMARY));
        assertEquals(List.of(1L), round.takeConfirmed());
    }

    @Test
    void doesNotCountAnAwaitThatWasSentBeforeTheTicket() {
        round.add(1, 10, DEADLINE_MILLIS);
        ConfirmationRound.Await first = await(PRIMARY);
        ConfirmationRound.Await second = await(REPLICA);
        round.add(2, 10, DEADLINE_MILLIS);
        round.reached(first);
        round.reached(second);
        assertEquals(List.of(1L), round.takeConfirmed());
    }

    @Test
    void keepsOneAwaitPerEndpointForTheHighestOffset() {
        round.add(1, 10, DEADLINE_MILLIS);
        round.add(2, 30, DEADLINE_MILLIS);
        assertEquals(30, await(REPLICA).offset());
        assertTrue(round.nextAwait(REPLICA, 0).isEmpty());
    }

    @Test
    void givesUpOnceAMajorityOrThePrimaryHasLeftTheTerm() {
        round.add(1, 10, DEADLINE_MILLIS);
        round.left(await(REPLICA));
        assertEquals(List.of(), round.takeFailed(0));
        round.left(await(OTHER));
        assertEquals(List.of(1L), round.takeFailed(0));
        ConfirmationRound second = new ConfirmationRound(group(), PRIMARY, 3);
        second.add(2, 10, DEADLINE_MILLIS);
        second.left(second.nextAwait(PRIMARY, 0).orElseThrow());
        assertEquals(List.of(2L), second.takeFailed(0));
    }

    @Test
    void givesUpAtTheDeadline() {
        round.add(1, 10, DEADLINE_MILLIS);
        assertEquals(List.of(), round.takeFailed(DEADLINE_MILLIS - 1));
        assertEquals(List.of(1L), round.takeFailed(DEADLINE_MILLIS));
    }

    @Test
    void asksAgainAfterAFailureOnlyWhenTheDelayIsOver() {
        round.add(1, 10, DEADLINE_MILLIS);
        round.failed(await(REPLICA), 50);
        assertTrue(round.nextAwait(REPLICA, 49).isEmpty());
        assertEquals(1, round.nextAwait(REPLICA, 50).orElseThrow().attempt());
    }

    private ConfirmationRound.Await await(EndpointId endpoint) {
        return round.nextAwait(endpoint, 0).orElseThrow();
    }

    private static DatabaseDeclaration group() {
        List<EndpointDeclaration> endpoints = Stream.of(PRIMARY, REPLICA, OTHER)
                .map(id ->
                        new EndpointDeclaration(id, new DataCentreId("dc"), new CellId("c"), "127.0.0.1", 5432, false))
                .toList();
        return new DatabaseDeclaration(new DatabaseId("renewals"), endpoints, 2, 16);
    }
}
