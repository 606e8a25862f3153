package org.hyssopswitch.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetDeclarations;
import org.hyssopswitch.bench.fleet.FleetShape;
import org.hyssopswitch.bench.fleet.FleetVm;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.SelectionRequest;

/** Control traffic and processor time that callers cause: by databases and by client accounts in use on an entry VM. */
public final class CallerMeasurement implements Measurement {

    private static final long SETTLE_MILLIS = 60_000;
    private static final long RUN_MILLIS = 64_000;
    private static final double SECONDS = RUN_MILLIS / 1_000.0;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int STEP_MILLIS = 100;

    /** Creates the measurement. */
    public CallerMeasurement() {}

    @Override
    public List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>(byDatabases());
        slopes.addAll(byAccounts());
        return slopes;
    }

    private static List<Slope> byDatabases() {
        SlopeCollector collector = new SlopeCollector("database in use on the entry VM");
        for (int databases : new int[] {8, 16, 32, 64}) {
            Fleet fleet = new Fleet(new FleetShape(2, 1, 3, databases, 1), 2);
            FleetVm entry = fleet.vms().get(0);
            run(fleet, SETTLE_MILLIS, () -> select(fleet, entry, databases));
            fleet.clear();
            run(fleet, RUN_MILLIS, () -> select(fleet, entry, databases));
            long all = fleet.vms().stream()
                    .mapToLong(v -> v.traffic().bytes("session"))
                    .sum();
            collector.add("use.database.bytes", "bytes/s of hints and subscriptions", databases, all / SECONDS);
            collector.add("use.database.processor", "ms/s of the entry VM", databases, processor(entry));
        }
        return collector.slopes();
    }

    private static List<Slope> byAccounts() {
        SlopeCollector collector = new SlopeCollector("client account in use on the entry VM");
        int perDatabase = 8;
        for (int databases : new int[] {4, 8, 16, 32}) {
            Fleet fleet = new Fleet(new FleetShape(2, 1, 3, databases, perDatabase), 3);
            FleetVm entry = fleet.vms().get(0);
            run(fleet, SETTLE_MILLIS, () -> admit(fleet, entry, databases, perDatabase));
            fleet.clear();
            run(fleet, RUN_MILLIS, () -> admit(fleet, entry, databases, perDatabase));
            int accounts = databases * perDatabase;
            long all = fleet.vms().stream()
                    .mapToLong(v -> v.traffic().bytes("limit"))
                    .sum();
            long messages = fleet.vms().stream()
                    .mapToLong(v -> v.traffic().messages("limit"))
                    .sum();
            collector.add("use.account.bytes", "bytes/s of requests and leases", accounts, all / SECONDS);
            collector.add("use.account.messages", "messages/s of requests and leases", accounts, messages / SECONDS);
            collector.add("use.account.processor", "ms/s of the entry VM", accounts, processor(entry));
            collector.add(
                    "use.account.calls",
                    "platform calls/s of the limits",
                    accounts,
                    fleet.vms().stream()
                                    .mapToLong(v -> v.traffic().calls("read")
                                            + v.traffic().calls("update"))
                                    .sum()
                            / SECONDS);
        }
        return collector.slopes();
    }

    private static void run(Fleet fleet, long millis, Runnable use) {
        for (long i = 0; i < millis; i += STEP_MILLIS) {
            fleet.run(STEP_MILLIS);
            use.run();
        }
    }

    private static void select(Fleet fleet, FleetVm vm, int databases) {
        for (int i = 0; i < databases; i++) {
            SelectionRequest request = new SelectionRequest(
                    FleetDeclarations.route(i), new LogPosition(1, 1), Set.of(), fleet.nowMillis());
            vm.cluster().selector().select(request, fleet.nowMillis());
        }
    }

    private static void admit(Fleet fleet, FleetVm vm, int databases, int perDatabase) {
        for (int i = 0; i < databases; i++) {
            for (int j = 0; j < perDatabase; j++) {
                vm.limits().admit(FleetDeclarations.account(i, j), fleet.nowMillis(), fleet.nowMillis());
            }
        }
    }

    private static double processor(FleetVm vm) {
        return vm.nanos() / NANOS_PER_MILLI / SECONDS;
    }
}
