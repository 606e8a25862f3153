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

class PendingConfirmationsTests {

    private static final EndpointId PRIMARY = new EndpointId("e0");
    private static final EndpointId REPLICA = new EndpointId("e1");
    private static final EndpointId OTHER = new EndpointId("e2");
    private static final long DEADLINE_MILLIS = 1_000;

    private final PendingConfirmations confirmations = new PendingConfirmations(group(), PRIMARY, 3);

    @Test
    void confirmsWithAMajorityThatIncludesThePrimary() {
        confirmations.add(1, 10, DEADLINE_MILLIS);
        confirmations.recordAccepted(await(REPLICA));
        confirmations.recordAccepted(await(OTHER));
        assertEquals(List.of(), confirmations.takeConfirmed());
        confirmations.recordAccepted(await(PRIMARY));
        assertEquals(List.of(1L), confirmations.takeConfirmed());
    }

    @Test
    void doesNotCountAnAwaitThatWasSentBeforeTheTicket() {
        confirmations.add(1, 10, DEADLINE_MILLIS);
        PendingConfirmations.Await first = await(PRIMARY);
        PendingConfirmations.Await second = await(REPLICA);
        confirmations.add(2, 10, DEADLINE_MILLIS);
        confirmations.recordAccepted(first);
        confirmations.recordAccepted(second);
        assertEquals(List.of(1L), confirmations.takeConfirmed());
    }

    @Test
    void keepsOneAwaitPerEndpointForTheHighestOffset() {
        confirmations.add(1, 10, DEADLINE_MILLIS);
        confirmations.add(2, 30, DEADLINE_MILLIS);
        assertEquals(30, await(REPLICA).offset());
        assertTrue(confirmations.nextAwait(REPLICA, 0).isEmpty());
    }

    @Test
    void failsOnceAMajorityOrThePrimaryHasLeftTheTerm() {
        confirmations.add(1, 10, DEADLINE_MILLIS);
        confirmations.recordTermLeft(await(REPLICA));
        assertEquals(List.of(), confirmations.takeFailed(0));
        confirmations.recordTermLeft(await(OTHER));
        assertEquals(List.of(1L), confirmations.takeFailed(0));
        PendingConfirmations second = new PendingConfirmations(group(), PRIMARY, 3);
        second.add(2, 10, DEADLINE_MILLIS);
        second.recordTermLeft(second.nextAwait(PRIMARY, 0).orElseThrow());
        assertEquals(List.of(2L), second.takeFailed(0));
    }

    @Test
    void failsAtTheDeadline() {
        confirmations.add(1, 10, DEADLINE_MILLIS);
        assertEquals(List.of(), confirmations.takeFailed(DEADLINE_MILLIS - 1));
        assertEquals(List.of(1L), confirmations.takeFailed(DEADLINE_MILLIS));
    }

    @Test
    void retriesAfterAFailureOnlyOnceTheDelayHasElapsed() {
        confirmations.add(1, 10, DEADLINE_MILLIS);
        confirmations.recordFailure(await(REPLICA), 50);
        assertTrue(confirmations.nextAwait(REPLICA, 49).isEmpty());
        assertEquals(1, confirmations.nextAwait(REPLICA, 50).orElseThrow().attempt());
    }

    private PendingConfirmations.Await await(EndpointId endpoint) {
        return confirmations.nextAwait(endpoint, 0).orElseThrow();
    }

    private static DatabaseDeclaration group() {
        List<EndpointDeclaration> endpoints = Stream.of(PRIMARY, REPLICA, OTHER)
                .map(id ->
                        new EndpointDeclaration(id, new DataCentreId("dc"), new CellId("c"), "127.0.0.1", 5432, false))
                .toList();
        return new DatabaseDeclaration(new DatabaseId("renewals"), endpoints, 2, 16);
    }
}
