package org.hyssopswitch.bench.slope;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetDeclarations;
import org.hyssopswitch.bench.fleet.FleetShape;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/** Heap that tables hold: declared databases, their encoded subtrees, and client accounts that are lent and held. */
public final class MemoryMeasurement implements Measurement {

    private static final int COLLECTIONS = 4;
    private static final long PAUSE_MILLIS = 50;
    private static final long USE_MILLIS = 20_000;
    private static final int STEP_MILLIS = 500;

    /** Creates the measurement. */
    public MemoryMeasurement() {}

    @Override
    public List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>(databases());
        slopes.addAll(accounts());
        slopes.addAll(shares());
        return slopes;
    }

    private static List<Slope> databases() {
        SlopeCollector collector = new SlopeCollector("declared database without client accounts");
        for (int size : new int[] {2_000, 4_000, 8_000, 16_000}) {
            collector.add("memory.database", "bytes of the configuration", size, heap(() -> declared(size, 0)));
        }
        return collector.slopes();
    }

    private static List<Slope> accounts() {
        int databases = 2_000;
        SlopeCollector collector = new SlopeCollector("declared client account");
        for (int size : new int[] {2, 4, 8}) {
            collector.add(
                    "memory.account",
                    "bytes of the configuration",
                    (double) size * databases,
                    heap(() -> declared(databases, size)));
        }
        return collector.slopes();
    }

    private static List<Slope> shares() {
        SlopeCollector collector = new SlopeCollector("client account that is lent and held");
        for (int databases : new int[] {50, 100, 200}) {
            FleetShape shape = new FleetShape(1, 1, 1, databases, 32);
            Fleet idle = new Fleet(shape, 10);
            idle.run(USE_MILLIS);
            collector.add(
                    "memory.share", "bytes of ledger and share", databases * 32.0, heap(() -> use(idle, databases)));
        }
        return collector.slopes();
    }

    private static Object use(Fleet fleet, int databases) {
        for (int i = 0; i < USE_MILLIS; i += STEP_MILLIS) {
            fleet.run(STEP_MILLIS);
            for (int d = 0; d < databases; d++) {
                for (int a = 0; a < 32; a++) {
                    fleet.vms()
                            .get(0)
                            .limits()
                            .admit(FleetDeclarations.account(d, a), fleet.nowMillis(), fleet.nowMillis());
                }
            }
        }
        return fleet;
    }

    /** A configuration together with the encoded subtrees that a VM keeps to serve others. */
    private static Object declared(int databases, int accounts) {
        FleetShape shape = new FleetShape(3, 1, 2, databases, accounts);
        TeamConfigurationCodec codec = new TeamConfigurationCodec();
        Map<TeamId, TeamConfiguration> teams = new HashMap<>();
        List<byte[]> values = new ArrayList<>();
        for (int i = 0; i < databases; i++) {
            byte[] value = codec.encode(FleetDeclarations.subtree(shape, i, 1));
            teams.put(
                    FleetDeclarations.team(i),
                    codec.decode(FleetDeclarations.team(i), 1, value).get());
            values.add(value);
        }
        return List.of(new Configuration(1, teams), values);
    }

    private static double heap(Supplier<Object> create) {
        long before = used();
        Object held = create.get();
        try {
            return (double) (used() - before);
        } finally {
            Reference.reachabilityFence(held);
        }
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
