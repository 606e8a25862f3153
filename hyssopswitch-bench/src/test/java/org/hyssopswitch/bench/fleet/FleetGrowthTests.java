package org.hyssopswitch.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/** Steps the real systems at growing sizes: what the capacity page takes as constant must not grow with the fleet. */
class FleetGrowthTests {

    private static final int VMS_PER_CELL = 6;
    private static final long SETTLE_MILLIS = 15_000;
    private static final long RUN_MILLIS = 20_000;

    /** The fleet grows fourfold; a quantity that grows with it would grow by about as much. */
    private static final double MAX_GROWTH = 1.25;

    private static final Fleet SMALL = run(dataCentres(6));
    private static final Fleet LARGE = run(dataCentres(24));

    @Test
    void noMessageOfAVmGrowsWithTheFleet() {
        for (String subject : new String[] {"membership", "configuration", "limit", "failover", "session"}) {
            assertConstant(subject + " bytes", SMALL, LARGE, v -> v.traffic().bytes(subject));
            assertConstant(subject + " messages", SMALL, LARGE, v -> v.traffic().messages(subject));
        }
    }

    @Test
    void noPlatformCallOfACellGrowsWithTheFleet() {
        for (String kind : new String[] {"read", "update", "watch", "list"}) {
            assertConstant(kind, SMALL, LARGE, v -> v.traffic().calls(kind));
        }
    }

    @Test
    void aTableOfAVmDoesNotGrowWithTheFleet() {
        assertConstant("own cell", SMALL, LARGE, v -> v.cluster()
                .membership()
                .live(v.self().cell())
                .size());
        assertConstant("slots", SMALL, LARGE, v -> v.limits().ownedSlots());
    }

    @Test
    void heartbeatsDoNotGrowWithTheCell() {
        Fleet small = run(new FleetShape(1, 1, 8, 2, 1));
        Fleet large = run(new FleetShape(1, 1, 32, 2, 1));
        assertConstant("membership bytes", small, large, v -> v.traffic().bytes("membership"));
    }

    @Test
    void theCheckNoticesAQuantityThatGrows() {
        Fleet small = run(new FleetShape(1, 1, 8, 2, 1));
        Fleet large = run(new FleetShape(1, 1, 16, 2, 1));
        assertThrows(
                AssertionError.class,
                () -> assertConstant("own cell", small, large, v -> v.cluster()
                        .membership()
                        .live(v.self().cell())
                        .size()));
    }

    @Test
    void aConfigurationChangeReachesEveryVmOfALargeFleet() {
        Fleet fleet = run(dataCentres(12));
        long before = fleet.vms().get(0).configuration().version();
        fleet.declare(0);
        fleet.run(5_000);
        long after = fleet.vms().get(0).configuration().version();
        assertTrue(after > before);
        fleet.vms().forEach(v -> assertEquals(after, v.configuration().version()));
    }

    /** Every VM is home to as many endpoints at each size. */
    private static FleetShape dataCentres(int count) {
        return new FleetShape(count, 1, VMS_PER_CELL, 2 * count, 1);
    }

    private static Fleet run(FleetShape shape) {
        Fleet fleet = new Fleet(shape, 12);
        fleet.run(SETTLE_MILLIS);
        fleet.clear();
        fleet.run(RUN_MILLIS);
        return fleet;
    }

    private static void assertConstant(String what, Fleet small, Fleet large, ToDoubleFunction<FleetVm> quantity) {
        double before = small.mean(quantity);
        double after = large.mean(quantity);
        assertTrue(after <= before * MAX_GROWTH + 1e-9, what + " grew from " + before + " to " + after);
    }
}
