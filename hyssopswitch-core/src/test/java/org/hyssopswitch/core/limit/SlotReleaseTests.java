package org.hyssopswitch.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssopswitch.core.drain.DrainPhase;
import org.hyssopswitch.core.drain.DrainSystem;
import org.junit.jupiter.api.Test;

class SlotReleaseTests {

    @Test
    void leavingVmReleasesItsSlotsToAnotherVm() {
        LimitFleet fleet = LimitFaultTests.fleet(1, 2, LimitSettings.DEFAULT, LimitMutation.NONE, 3);
        LimitLoad load = new LimitLoad(fleet, LimitFaultTests.rates(), new LimitLoad.Shape(0.5, 2, 1), 3);
        run(fleet, load, 5_000);
        LimitVm leaving = fleet.vms().get(0);
        assertTrue(leaving.system().ownedSlots() > 0);
        DrainSystem drain = new DrainSystem(() -> fleet.markLeaving(leaving), leaving.system());
        drain.requestDrain();
        for (int i = 0; i < 3_000; i++) {
            drain.tick(leaving.localMillis(fleet.now()), fleet.outbox(leaving));
            fleet.step();
        }
        assertEquals(DrainPhase.DRAINED, drain.phase());
        assertEquals(0, leaving.system().ownedSlots());
        assertEquals(LimitSettings.DEFAULT.slots(), fleet.vms().get(1).system().ownedSlots());
        assertEquals(List.of(), LimitAudit.breaches(load.admissions(), LimitFaultTests.rates()));
    }

    @Test
    void leavingVmDoesNotWaitForUnavailablePlatform() {
        LimitFleet fleet = LimitFaultTests.fleet(1, 2, LimitSettings.DEFAULT, LimitMutation.NONE, 4);
        run(fleet, new LimitLoad(fleet, LimitFaultTests.rates(), new LimitLoad.Shape(0.5, 2, 1), 4), 5_000);
        fleet.platform().setDown(true);
        LimitVm leaving = fleet.vms().get(0);
        DrainSystem drain = new DrainSystem(() -> fleet.markLeaving(leaving), leaving.system());
        drain.requestDrain();
        for (int i = 0; i <= DrainSystem.SLOT_RELEASE_TIMEOUT_MILLIS + 100; i++) {
            drain.tick(leaving.localMillis(fleet.now()), fleet.outbox(leaving));
            fleet.step();
        }
        assertEquals(DrainPhase.DRAINED, drain.phase());
    }

    private static void run(LimitFleet fleet, LimitLoad load, int millis) {
        for (int i = 0; i < millis; i++) {
            fleet.step();
            load.step();
        }
    }
}
