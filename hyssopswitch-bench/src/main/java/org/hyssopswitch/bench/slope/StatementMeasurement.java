package org.hyssopswitch.bench.slope;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import org.hyssopswitch.bench.fleet.ControlMessages;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetDeclarations;
import org.hyssopswitch.bench.fleet.FleetShape;
import org.hyssopswitch.bench.fleet.FleetVm;
import org.hyssopswitch.core.fairness.DeficitRoundRobinQueue;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.SelectionRequest;
import org.hyssopswitch.peer.MessageCodec;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.forward.ExecuteCycle;

/** Processor time of the steps that a forwarded statement takes: codec, admission, choice of an endpoint and queue. */
public final class StatementMeasurement implements Measurement {

    private static final int ROUNDS = 7;
    private static final int REPEATS = 20_000;
    private static final long SETTLE_MILLIS = 20_000;
    private static final double NANOS_PER_MICRO = 1e3;

    /** Creates the measurement. */
    public StatementMeasurement() {}

    @Override
    public List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>(codec());
        slopes.addAll(queue());
        slopes.addAll(selection());
        slopes.addAll(admission());
        return slopes;
    }

    private static List<Slope> codec() {
        SlopeCollector collector = new SlopeCollector("byte of the statement");
        MessageCodec codec = ControlMessages.codec();
        for (int size : new int[] {64, 256, 1_024, 4_096}) {
            byte[] frames = new byte[size];
            double micros = micros(i -> {
                ExecuteCycle cycle = new ExecuteCycle(i, 1, i, facts(), false, frames);
                codec.decode(ControlMessages.body(codec.encode(cycle).get())).get();
            });
            collector.add("statement.codec", "us to encode and decode", size, micros);
        }
        return collector.slopes();
    }

    private static CycleRouting facts() {
        return new CycleRouting(
                FleetDeclarations.account(1, 1),
                FleetDeclarations.database(1),
                FleetDeclarations.endpoint(1, 1),
                true,
                false,
                new LogPosition(3, 123_456),
                1_000);
    }

    private static List<Slope> queue() {
        SlopeCollector collector = new SlopeCollector("client account that waits");
        for (int accounts : new int[] {8, 32, 128, 256}) {
            DeficitRoundRobinQueue<Integer> queue =
                    new DeficitRoundRobinQueue<>(a -> 1 + a.value().length(), QueueLimits.DEFAULT);
            ClientAccountId[] ids = new ClientAccountId[accounts];
            for (int i = 0; i < accounts; i++) {
                ids[i] = FleetDeclarations.account(1, i);
                queue.offer(ids[i], i, Long.MAX_VALUE, 0);
                queue.offer(ids[i], i, Long.MAX_VALUE, 0);
            }
            double micros = micros(i -> {
                queue.offer(ids[i % accounts], i, Long.MAX_VALUE, 0);
                queue.poll(0);
            });
            collector.add("statement.queue", "us to queue and take", accounts, micros);
        }
        return collector.slopes();
    }

    private static List<Slope> selection() {
        SlopeCollector collector = new SlopeCollector("database in use on the entry VM");
        for (int databases : new int[] {8, 32, 128}) {
            Fleet fleet = new Fleet(new FleetShape(1, 1, 3, databases, 1), 8);
            FleetVm vm = fleet.vms().get(0);
            for (int i = 0; i < SETTLE_MILLIS; i += 1_000) {
                fleet.run(1_000);
                for (int d = 0; d < databases; d++) {
                    select(fleet, vm, d);
                }
            }
            double micros = micros(i -> select(fleet, vm, i % databases));
            collector.add("statement.selection", "us to choose an endpoint", databases, micros);
        }
        return collector.slopes();
    }

    private static void select(Fleet fleet, FleetVm vm, int database) {
        SelectionRequest request = new SelectionRequest(
                FleetDeclarations.route(database), new LogPosition(1, 1), Set.of(), fleet.nowMillis());
        vm.cluster().selector().select(request, fleet.nowMillis());
    }

    private static List<Slope> admission() {
        SlopeCollector collector = new SlopeCollector("client account in use on the entry VM");
        for (int databases : new int[] {8, 32, 128}) {
            Fleet fleet = new Fleet(new FleetShape(1, 1, 1, databases, 8), 9);
            fleet.run(SETTLE_MILLIS);
            FleetVm vm = fleet.vms().get(0);
            double micros = micros(i -> vm.limits()
                    .admit(
                            FleetDeclarations.account(i % databases, i / databases % 8),
                            fleet.nowMillis(),
                            fleet.nowMillis()));
            collector.add("statement.admission", "us to admit", databases * 8, micros);
        }
        return collector.slopes();
    }

    /** The median over some rounds of the mean time of one repetition, after one round that is not counted. */
    private static double micros(IntConsumer work) {
        double[] means = new double[ROUNDS];
        for (int round = -1; round < ROUNDS; round++) {
            long begin = System.nanoTime();
            for (int i = 0; i < REPEATS; i++) {
                work.accept(i);
            }
            if (round >= 0) {
                means[round] = (System.nanoTime() - begin) / NANOS_PER_MICRO / REPEATS;
            }
        }
        Arrays.sort(means);
        return means[ROUNDS / 2];
    }
}
