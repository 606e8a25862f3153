package org.hyssopswitch.core.limit;

import java.util.SplittableRandom;
import org.hyssopswitch.core.identity.DataCentreId;

/**
 * Injects random faults from a seed: pauses and restarts of VMs, partitions, unreliable links, an unavailable platform,
 * and databases that move to other data centres.
 */
final class FaultSchedule {

    private static final int MEAN_INTERVAL_MILLIS = 700;
    private static final int FAULT_FREE_START_MILLIS = 4_000;

    private final LimitFleet fleet;
    private final SplittableRandom random;
    private long version = 1;

    FaultSchedule(LimitFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    void step() {
        if (fleet.now() < FAULT_FREE_START_MILLIS || random.nextInt(MEAN_INTERVAL_MILLIS) != 0) {
            return;
        }
        int vm = random.nextInt(fleet.vms().size());
        switch (random.nextInt(9)) {
            case 0 -> fleet.vms().get(vm).pause(fleet.now() + random.nextInt(15_000));
            case 1 -> fleet.restart(vm);
            case 2, 3 -> fleet.setPartitioned(dataCentre(), dataCentre(), random.nextBoolean());
            case 4 -> fleet.setLinkFaults(random.nextDouble() / 3, random.nextDouble() / 3, random.nextInt(1_500));
            case 5 -> fleet.setLinkFaults(0, 0, 0);
            case 6 -> fleet.platform().setDown(random.nextBoolean());
            case 7 -> fleet.platform().setLostAnswerProbability(random.nextDouble() / 2);
            default -> {
                version++;
                fleet.configure(LimitFaultTests.configuration(version, 1 + random.nextInt(3)));
            }
        }
    }

    private DataCentreId dataCentre() {
        return new DataCentreId("dc" + random.nextInt(3));
    }
}
