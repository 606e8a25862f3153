package org.hyssopswitch.core.position;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.hyssopswitch.core.identity.EndpointId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointStatusTests {

    @ParameterizedTest
    @CsvSource({
        "3, 10, 5, 3, 10, true",
        "3, 9, 5, 3, 10, false",
        "2, 50, 5, 3, 1, false",
        "3, 10, 10, 2, 10, true",
        "3, 12, 10, 2, 40, true",
        "3, 9, 8, 2, 8, true"
    })
    void coversFloorOnlyWhenEveryAcknowledgedEntryIsApplied(
            long term, long offset, long termStart, long floorTerm, long floorOffset, boolean covered) {
        assertEquals(covered, status(term, offset, termStart).covers(new LogPosition(floorTerm, floorOffset)));
    }

    @Property(seed = "720111")
    void coversItsOwnPosition(@ForAll @LongRange(min = 0, max = 1000) long offset) {
        EndpointStatus status = status(4, offset, 0);
        assertEquals(true, status.covers(status.applied()));
    }

    private static EndpointStatus status(long term, long offset, long termStart) {
        return new EndpointStatus(
                new EndpointId("e1"), EndpointRole.REPLICA, term, new LogPosition(term, offset), termStart, 0, 0);
    }
}
