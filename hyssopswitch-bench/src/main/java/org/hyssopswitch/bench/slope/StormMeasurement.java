package org.hyssopswitch.bench.slope;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetShape;
import org.hyssopswitch.core.limit.LimitSettings;

/** Platform calls of VMs that start, of whole cells that start, and just after an outage of the platform. */
public final class StormMeasurement implements Measurement {

    private static final long SETTLE_MILLIS = 30_000;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long MINUTE_MILLIS = 60_000;
    private static final int VMS_PER_DATA_CENTRE = 16;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Creates the measurement. */
    public StormMeasurement() {}

    @Override
    public List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>(restarts());
        slopes.addAll(outages());
        return slopes;
    }

    private static List<Slope> restarts() {
        SlopeCollector collector = new SlopeCollector("slot owned by VMs that restart in the same minute");
        for (int restarts : new int[] {2, 4, 6, 8}) {
            Fleet fleet = new Fleet(new FleetShape(2, 1, VMS_PER_DATA_CENTRE, 8, 4), 6);
            fleet.run(SETTLE_MILLIS);
            fleet.clear();
            fleet.run(MINUTE_MILLIS);
            double[] quiet = calls(fleet);
            fleet.clear();
            for (int i = 0; i < restarts; i++) {
                fleet.restart(i);
                fleet.run(MINUTE_MILLIS / restarts);
            }
            double[] busy = calls(fleet);
            double size = (double) restarts * LimitSettings.DEFAULT.slots() / VMS_PER_DATA_CENTRE;
            collector.add("restart.reads", "platform reads and watches", size, busy[0] - quiet[0]);
            collector.add("restart.updates", "platform updates", size, busy[1] - quiet[1]);
            collector.add("restart.lists", "platform lists", size, busy[2] - quiet[2]);
        }
        return collector.slopes();
    }

    private static List<Slope> outages() {
        SlopeCollector collector = new SlopeCollector("cell of the fleet");
        for (int cells : new int[] {3, 6, 12}) {
            FleetShape shape = new FleetShape(cells, 1, 8, 4 * cells, 2);
            Fleet fleet = new Fleet(shape, 7);
            fleet.run(SETTLE_MILLIS);
            fleet.platformUp(false);
            fleet.clear();
            fleet.run(OUTAGE_MILLIS);
            double[] away = calls(fleet);
            double seconds = OUTAGE_MILLIS / MILLIS_PER_SECOND;
            collector.add(
                    "outage.calls",
                    "platform calls/s of the fleet while away",
                    cells,
                    (away[0] + away[1] + away[2]) / seconds);
            fleet.platformUp(true);
            collector.add("outage.peak", "platform calls in the busiest second after", cells, busiestSecond(fleet));
        }
        return collector.slopes();
    }

    private static double busiestSecond(Fleet fleet) {
        double most = 0;
        for (int i = 0; i < 20; i++) {
            fleet.clear();
            fleet.run((long) MILLIS_PER_SECOND);
            double[] calls = calls(fleet);
            most = Math.max(most, calls[0] + calls[1] + calls[2]);
        }
        return most;
    }

    private static double[] calls(Fleet fleet) {
        double[] sums = new double[3];
        for (var vm : fleet.vms()) {
            sums[0] += vm.traffic().calls("read") + vm.traffic().calls("watch");
            sums[1] += vm.traffic().calls("update");
            sums[2] += vm.traffic().calls("list");
        }
        return sums;
    }
}
