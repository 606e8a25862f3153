package org.hyssopswitch.bench.slope;

import java.util.List;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetDeclarations;
import org.hyssopswitch.bench.fleet.FleetShape;

/** Messages, platform calls and time of promotions. */
public final class PromotionMeasurement implements Measurement {

    private static final long SETTLE_MILLIS = 15_000;
    private static final long RUN_MILLIS = 10_000;

    /** Creates the measurement. */
    public PromotionMeasurement() {}

    @Override
    public List<Slope> measure() {
        SlopeCollector collector = new SlopeCollector("promotion at the same time");
        for (int promotions : new int[] {1, 4, 8, 16}) {
            Fleet fleet = new Fleet(new FleetShape(3, 1, 4, 32, 1), 5);
            fleet.run(SETTLE_MILLIS);
            double[] quiet = count(fleet, RUN_MILLIS);
            for (int i = 0; i < promotions; i++) {
                fleet.silence(FleetDeclarations.endpoint(i, 0));
            }
            long begin = fleet.nowMillis();
            fleet.clear();
            while (completed(fleet) < promotions && fleet.nowMillis() - begin < RUN_MILLIS) {
                fleet.run(10);
            }
            long duration = fleet.nowMillis() - begin;
            fleet.run(RUN_MILLIS - duration);
            if (completed(fleet) < promotions) {
                throw new IllegalStateException("only " + completed(fleet) + " of " + promotions + " were promoted");
            }
            double[] busy = totals(fleet);
            collector.add("promotion.messages", "messages of the fleet", promotions, busy[0] - quiet[0]);
            collector.add("promotion.bytes", "bytes of the fleet", promotions, busy[1] - quiet[1]);
            collector.add("promotion.calls", "platform reads and updates", promotions, busy[2] - quiet[2]);
            collector.add("promotion.duration", "ms until the last is promoted", promotions, (double) duration);
        }
        return collector.slopes();
    }

    private static double[] count(Fleet fleet, long millis) {
        fleet.clear();
        fleet.run(millis);
        return totals(fleet);
    }

    private static double[] totals(Fleet fleet) {
        double messages = 0;
        double bytes = 0;
        double calls = 0;
        for (var vm : fleet.vms()) {
            messages += vm.traffic().messages("failover");
            bytes += vm.traffic().bytes("failover");
            calls += vm.traffic().calls("read") + vm.traffic().calls("update");
        }
        return new double[] {messages, bytes, calls};
    }

    private static long completed(Fleet fleet) {
        return fleet.vms().stream()
                .mapToLong(v -> v.cluster().promotion().completed())
                .sum();
    }
}
