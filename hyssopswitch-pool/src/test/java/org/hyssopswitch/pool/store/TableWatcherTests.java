package org.hyssopswitch.pool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hyssopswitch.pool.testing.FakeObjectTable;
import org.hyssopswitch.pool.testing.ManualLoop;
import org.junit.jupiter.api.Test;

class TableWatcherTests {

    private static final long WAIT_MILLIS = 2_000;

    private final ManualLoop loop = new ManualLoop();
    private final FakeObjectTable<String> table = new FakeObjectTable<>(loop);
    private final List<String> seen = new ArrayList<>();
    private boolean failNextChange;
    private boolean failAlways;

    @Test
    void reportsChangesAndRemovalsPromptly() {
        table.put("a", "1");
        start();
        loop.advance(50);
        table.put("a", "2");
        loop.advance(50);
        table.remove("a");
        loop.advance(50);
        assertEquals(List.of("list a=1", "a=2", "a removed"), seen);
    }

    @Test
    void listsAgainWhenTheHistoryIsGone() {
        start();
        loop.advance(50);
        table.put("a", "1");
        table.discardHistory();
        loop.advance(2_500);
        assertEquals("list a=1", seen.get(seen.size() - 1));
    }

    @Test
    void listsAgainWhenTheStoreComesBackFromACopyAlthoughItHasTheRevisionAgain() {
        table.setEra(1);
        table.put("a", "1");
        FakeObjectTable.Copy<String> copy = table.copy();
        table.put("a", "2");
        start();
        loop.advance(50);
        table.restore(copy);
        table.put("b", "reused revision");
        loop.advance(WAIT_MILLIS + 500);
        assertEquals(List.of("list a=2", "regained", "list a=1 b=reused revision"), seen);
    }

    @Test
    void listsAgainAtOnceWhenAnotherCallOfTheVmReportsALaterEra() {
        table.setEra(1);
        FakeObjectTable.Copy<String> copy = table.copy();
        table.put("a", "1");
        start();
        loop.advance(50);
        table.restore(copy);
        // The watch in flight neither fails nor returns: its revision exists again.
        table.put("b", "2");
        table.read("b", result -> {});
        loop.advance(50);
        assertEquals("list b=2", seen.get(seen.size() - 1));
    }

    @Test
    void listsAgainOnlyOnResumptionWhileItIsPaused() {
        table.setEra(1);
        FakeObjectTable.Copy<String> copy = table.copy();
        table.put("a", "1");
        TableWatcher<String> watcher = start();
        loop.advance(50);
        watcher.pause();
        loop.advance(WAIT_MILLIS + 50);
        table.restore(copy);
        table.read("a", result -> {});
        loop.advance(50);
        assertEquals(List.of("list a=1", "regained"), seen);
        watcher.resume();
        loop.advance(50);
        assertEquals("list", seen.get(seen.size() - 1));
    }

    @Test
    void reportsRecoveryOfTheStoreBeforeMissedChanges() {
        start();
        loop.advance(50);
        table.setUnavailable(true);
        loop.advance(5_000);
        table.put("a", "1");
        table.setUnavailable(false);
        loop.advance(1_000);
        assertEquals(List.of("list", "regained", "a=1"), seen);
    }

    @Test
    void readsAChangeAgainAndKeepsWatchingAfterItsListenerHasFailed() {
        start();
        loop.advance(50);
        failNextChange = true;
        table.put("a", "1");
        loop.advance(500);
        table.put("a", "2");
        loop.advance(WAIT_MILLIS);
        assertEquals(List.of("list", "regained", "list a=1", "a=2"), seen);
    }

    @Test
    void readsEverLessOftenWhatItsListenerCannotApply() {
        failAlways = true;
        table.put("a", "1");
        start();
        loop.advance(20_000);
        assertTrue(table.callCount() <= 60, table.callCount() + " calls in 20 s");
    }

    @Test
    void reportsSinceWhenTheStoreHasNotConfirmedWhatWasRead() {
        TableWatcher<String> watcher = start();
        loop.advance(50);
        table.setUnavailable(true);
        loop.advance(5_000);
        assertTrue(watcher.unconfirmedMillis() >= 5_000, watcher.unconfirmedMillis() + " ms");
        table.setUnavailable(false);
        table.put("a", "1");
        loop.advance(1_000);
        assertTrue(watcher.unconfirmedMillis() < 1_000, watcher.unconfirmedMillis() + " ms");
    }

    @Test
    void limitsCallsWhileNothingChangesOrTheStoreIsUnavailable() {
        start();
        loop.advance(20_000);
        assertTrue(table.callCount() <= 12, table.callCount() + " calls in 20 s");
        table.setUnavailable(true);
        loop.advance(20_000);
        assertTrue(table.callCount() <= 70, table.callCount() + " calls in 40 s");
    }

    private TableWatcher<String> start() {
        TableWatcher<String> watcher =
                new TableWatcher<>("test", table, new Recorder(), WAIT_MILLIS, loop, new Random(1));
        table.ownTracker().addListener((previous, era) -> watcher.eraAdvanced());
        watcher.start();
        return watcher;
    }

    private final class Recorder implements TableWatcher.Listener<String> {

        @Override
        public void listed(Listing<String> all) {
            if (failAlways) {
                throw new IllegalStateException("this list cannot be applied");
            }
            StringBuilder line = new StringBuilder("list");
            all.objects().forEach(one -> line.append(' ')
                    .append(one.name())
                    .append('=')
                    .append(one.value().get()));
            seen.add(line.toString());
        }

        @Override
        public void changed(Listing<String> changes) {
            if (failNextChange) {
                failNextChange = false;
                throw new IllegalStateException("this change cannot be applied");
            }
            changes.objects()
                    .forEach(one -> seen.add(
                            one.value().map(value -> one.name() + "=" + value).getOrElse(one.name() + " removed")));
        }

        @Override
        public void storeRecovered() {
            seen.add("regained");
        }
    }
}
