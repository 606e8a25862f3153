package org.hyssopswitch.bench.jmh;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hyssopswitch.bench.fleet.ControlMessages;
import org.hyssopswitch.bench.fleet.Fleet;
import org.hyssopswitch.bench.fleet.FleetDeclarations;
import org.hyssopswitch.bench.fleet.FleetShape;
import org.hyssopswitch.core.fairness.DeficitRoundRobinQueue;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.limit.Admission;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.core.session.Selection;
import org.hyssopswitch.core.session.SelectionRequest;
import org.hyssopswitch.peer.MessageCodec;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The steps that a forwarded statement takes in the decision thread and the codec. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class StatementBenchmark {

    private static final long SETTLE_MILLIS = 20_000;
    private static final int FRAME_BYTES = 256;

    /** Databases, and client accounts that wait. */
    @Param({"8", "32", "128"})
    @SuppressWarnings("VisibilityModifier")
    public int tables;

    private final MessageCodec codec = ControlMessages.codec();
    private final byte[] frames = new byte[FRAME_BYTES];
    private DeficitRoundRobinQueue<Integer> queue;
    private ClientAccountId[] accounts;
    private Fleet fleet;
    private int next;

    /** Creates the benchmark. */
    public StatementBenchmark() {}

    /** Fills the tables. */
    @Setup
    public void fill() {
        queue = new DeficitRoundRobinQueue<>(a -> 1 + a.value().length(), QueueLimits.DEFAULT);
        accounts = new ClientAccountId[tables];
        for (int i = 0; i < tables; i++) {
            accounts[i] = FleetDeclarations.account(i, 0);
            queue.offer(accounts[i], i, Long.MAX_VALUE, 0);
            queue.offer(accounts[i], i, Long.MAX_VALUE, 0);
        }
        fleet = new Fleet(new FleetShape(1, 1, 1, tables, 1), 1);
        fleet.run(SETTLE_MILLIS);
    }

    /** Encodes and decodes a forwarded statement. */
    @Benchmark
    public PeerMessage codec() {
        CycleRouting facts = new CycleRouting(
                accounts[0],
                FleetDeclarations.database(0),
                FleetDeclarations.endpoint(0, 0),
                true,
                false,
                LogPosition.ZERO,
                1_000);
        byte[] frame =
                codec.encode(new ExecuteCycle(1, 1, 1, facts, false, frames)).get();
        return codec.decode(ControlMessages.body(frame)).get();
    }

    /** Queues a statement and takes the next. */
    @Benchmark
    public int queue() {
        next = (next + 1) % tables;
        queue.offer(accounts[next], next, Long.MAX_VALUE, 0);
        return queue.poll(0).orElseThrow();
    }

    /** Chooses an endpoint. */
    @Benchmark
    public Selection selection() {
        next = (next + 1) % tables;
        SelectionRequest request =
                new SelectionRequest(FleetDeclarations.route(next), LogPosition.ZERO, Set.of(), fleet.nowMillis());
        return fleet.vms().get(0).cluster().selector().select(request, fleet.nowMillis());
    }

    /** Admits a statement, or finds no token. */
    @Benchmark
    public Admission admission() {
        next = (next + 1) % tables;
        return fleet.vms().get(0).limits().admit(accounts[next], fleet.nowMillis(), fleet.nowMillis());
    }
}
