package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.TableWatcher;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that is not in force in time after an outage of the store. */
class ConfigurationAfterOutageTests {

    /** Time after an outage in which a VM must follow changes again, milliseconds. */
    private static final long STABLE_AFTER_MILLIS = 4_000;

    private static final int SEEDS = 40;
    private static final long PHASE_STEP_MILLIS = 250;

    private final List<Long> delaysMillis = new ArrayList<>();

    @Test
    void followsAChangeInTimeWheneverAnOutageWithoutAnswersEnds() {
        for (int seed = 0; seed < SEEDS; seed++) {
            delaysMillis.add(delayAfterOutage(seed, 4_000 + seed * PHASE_STEP_MILLIS));
        }
        assertTrue(
                delaysMillis.stream().allMatch(delay -> delay <= STABLE_AFTER_MILLIS),
                () -> "delays after the outage: " + delaysMillis);
    }

    @Test
    void isCurrentAsSoonAsTheStoreAnswersAgain() {
        ManualLoop loop = new ManualLoop();
        FakeObjectTable<String> table = new FakeObjectTable<>(loop);
        TableWatcher<String> watcher = watch(loop, table, 1, new ArrayList<>());
        loop.advance(50);
        table.setUnavailable(true);
        loop.advance(100);
        table.setUnavailable(false);
        loop.advance(1_000);
        assertTrue(watcher.isCurrent(), "a VM that the store answers must not count as out of contact with it");
    }

    /** Returns the time from the end of an outage to the arrival of a change that was made at the end. */
    private static long delayAfterOutage(int seed, long outageMillis) {
        ManualLoop loop = new ManualLoop();
        FakeObjectTable<String> table = new FakeObjectTable<>(loop);
        List<Long> arrivals = new ArrayList<>();
        watch(loop, table, seed, arrivals);
        loop.advance(50);
        table.setSilent(true);
        loop.advance(outageMillis);
        table.setSilent(false);
        table.put("a", "1");
        long endMillis = loop.nowMillis();
        loop.advance(20_000);
        assertEquals(1, arrivals.size());
        return arrivals.get(0) - endMillis;
    }

    private static TableWatcher<String> watch(
            ManualLoop loop, FakeObjectTable<String> table, int seed, List<Long> arrivals) {
        TableWatcher<String> watcher = new TableWatcher<>(
                "test",
                table,
                new ArrivalRecorder(loop, arrivals),
                PoolVm.MAX_CONFIGURATION_WATCH_MILLIS,
                loop,
                new Random(seed));
        watcher.start();
        return watcher;
    }

    private record ArrivalRecorder(ManualLoop loop, List<Long> arrivals) implements TableWatcher.Listener<String> {

        @Override
        public void listed(Listing<String> all) {
            if (!all.objects().isEmpty()) {
                arrivals.add(loop.nowMillis());
            }
        }

        @Override
        public void changed(Listing<String> changes) {
            arrivals.add(loop.nowMillis());
        }

        @Override
        public void storeRecovered() {
            // Only the arrivals matter here.
        }
    }
}
