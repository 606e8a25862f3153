package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.TableWatcher;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

/**
 * Random series of disturbances of the store, in virtual time: after each, the latest version must be in force in time, and
 * a version must never be replaced by an earlier one.
 */
class ConfigurationFollowSoakTests {

    /** Time after a disturbance in which a VM must follow changes again, milliseconds. */
    private static final long STABLE_AFTER_MILLIS = 4_000;

    private static final int SEEDS = Integer.getInteger("soak.seeds", 300);
    private static final int DISTURBANCES_PER_SEED = 12;
    private static final int MAX_DISTURBANCE_MILLIS = 9_000;
    private static final int MAX_CHANGES = 4;
    private static final String NAME = "main";

    @Test
    void hasTheLatestVersionInForceInTimeAfterEachDisturbance() {
        List<String> broken = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            new Run(seed).play(broken);
        }
        assertEquals(List.of(), broken);
    }

    /** One VM that follows the store through one series. */
    private static final class Run implements TableWatcher.Listener<Long> {

        private final int seed;
        private final Random random;
        private final ManualLoop loop = new ManualLoop();
        private final FakeObjectTable<Long> table = new FakeObjectTable<>(loop);
        private long written;
        private long inForce = -1;
        private boolean failNext;

        Run(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
        }

        void play(List<String> broken) {
            table.setEra(1);
            TableWatcher<Long> watcher = new TableWatcher<>(
                    NAME, table, this, PoolVm.MAX_CONFIGURATION_WATCH_MILLIS, loop, new Random(seed));
            table.ownTracker().addListener((previous, era) -> watcher.eraAdvanced());
            write();
            watcher.start();
            for (int i = 0; i < DISTURBANCES_PER_SEED; i++) {
                loop.advance(random.nextInt((int) STABLE_AFTER_MILLIS));
                String kind = disturb();
                long changes = random.nextInt(MAX_CHANGES);
                for (long change = 0; change < changes; change++) {
                    write();
                    loop.advance(random.nextInt(300));
                }
                loop.advance(STABLE_AFTER_MILLIS);
                if (inForce != written) {
                    broken.add("seed " + seed + ", " + kind + ": version " + inForce + " instead of " + written);
                }
            }
        }

        @Override
        public void listed(Listing<Long> all) {
            changed(all);
        }

        @Override
        public void changed(Listing<Long> changes) {
            if (failNext) {
                failNext = false;
                throw new IllegalStateException("this version cannot be applied");
            }
            changes.objects()
                    .forEach(
                            object -> inForce = Math.max(inForce, object.value().getOrElse(-1L)));
        }

        @Override
        public void storeRecovered() {
            // Only versions matter here.
        }

        private void write() {
            written++;
            table.put(NAME, written);
        }

        /** Disturbs the store, with changes meanwhile, until it works again; returns the kind of disturbance. */
        private String disturb() {
            int millis = random.nextInt(MAX_DISTURBANCE_MILLIS);
            switch (random.nextInt(6)) {
                case 0 -> {
                    table.setSilent(true);
                    changeWithin(millis);
                    table.setSilent(false);
                    return "silent";
                }
                case 1 -> {
                    table.setUnavailable(true);
                    changeWithin(millis);
                    table.setUnavailable(false);
                    return "unavailable";
                }
                case 2 -> {
                    write();
                    table.discardHistory();
                    return "history discarded";
                }
                case 3 -> {
                    FakeObjectTable.Copy<Long> copy = table.copy();
                    changeWithin(millis);
                    table.restore(copy);
                    // The operator writes its latest version again.
                    table.put(NAME, written);
                    return "copy";
                }
                case 4 -> {
                    for (int i = 0; i < 4; i++) {
                        table.setSilent(true);
                        changeWithin(random.nextInt(2_000));
                        table.setSilent(false);
                        loop.advance(random.nextInt(400));
                    }
                    return "silent in series";
                }
                default -> {
                    failNext = true;
                    write();
                    return "not applied";
                }
            }
        }

        private void changeWithin(int millis) {
            int half = millis / 2;
            loop.advance(half);
            if (random.nextBoolean()) {
                write();
            }
            loop.advance(millis - half);
        }
    }
}
