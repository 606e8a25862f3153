package org.hyssopswitch.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The calls that wait for a change. Not thread-safe but for the timeouts, which run under the given lock. */
final class WatchTable {

    private final List<Watch> watches = new ArrayList<>();
    private final ScheduledExecutorService timer;
    private final Object lock;

    WatchTable(ScheduledExecutorService timer, Object lock) {
        this.timer = timer;
        this.lock = lock;
    }

    /** Answers the exchange when the path, or an object below the prefix, changes, or when the wait is over. */
    void add(String path, long waitMillis, Exchange exchange, Supplier<Answer> current) {
        Watch watch = new Watch(path, exchange, current);
        watches.add(watch);
        var unused = timer.schedule(() -> expire(watch), waitMillis, TimeUnit.MILLISECONDS);
    }

    void changed(String path) {
        List<Watch> due = watches.stream().filter(w -> w.concerns(path)).toList();
        watches.removeAll(due);
        due.forEach(Watch::answer);
    }

    int size() {
        return watches.size();
    }

    /** Drops all waiting calls. */
    void drop() {
        watches.forEach(w -> w.exchange().drop());
        watches.clear();
    }

    private void expire(Watch watch) {
        synchronized (lock) {
            if (watches.remove(watch)) {
                watch.answer();
            }
        }
    }

    /** A waiting call; compared by identity. */
    private static final class Watch {

        private final String path;
        private final Exchange exchange;
        private final Supplier<Answer> current;

        Watch(String path, Exchange exchange, Supplier<Answer> current) {
            this.path = path;
            this.exchange = exchange;
            this.current = current;
        }

        boolean concerns(String changed) {
            boolean prefix = path.isEmpty() || path.endsWith("/");
            return prefix ? changed.startsWith(path) : changed.equals(path);
        }

        Exchange exchange() {
            return exchange;
        }

        void answer() {
            exchange.answer(current.get());
        }
    }
}
