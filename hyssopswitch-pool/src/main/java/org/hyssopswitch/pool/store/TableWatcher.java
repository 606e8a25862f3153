package org.hyssopswitch.pool.store;

import io.vavr.control.Either;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.retry.Backoff;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * Keeps up with all objects of one kind: lists them, then watches for changes, and lists them again when the store no
 * longer keeps the history of changes or has come back from a copy.
 *
 * @param <T> type of the objects' values
 */
public final class TableWatcher<T> {

    /** Bounds of the delay before a failed call is retried, milliseconds: the store's outages last seconds. */
    private static final long MIN_RETRY_DELAY_MILLIS = 100;

    private static final long MAX_RETRY_DELAY_MILLIS = 800;

    /** Wait of a watch after a failure, milliseconds: the store answers at once, which shows that it can be reached. */
    private static final long RECOVERY_WAIT_MILLIS = 1;

    private static final Logger LOG = LogManager.getLogger(TableWatcher.class);

    private final String name;
    private final ObjectTable<T> table;
    private final Listener<T> listener;
    private final DecisionLoop loop;
    private final LongSupplier clock;
    private final Backoff backoff;
    private final long maxWaitMillis;
    private StorePosition position = StorePosition.NONE;
    private int listNumber;
    private boolean paused;
    private boolean watching;
    private int consecutiveFailures;
    private int failedDeliveries;
    private long failedSinceMillis;
    private volatile long confirmedMillis;

    /**
     * Creates a watcher.
     *
     * @param name what is watched, for logs
     * @param table the objects
     * @param listener receives what is read
     * @param maxWaitMillis maximum wait of one watch, milliseconds; a lost answer delays changes by up to this time
     * @param loop the decision thread
     * @param random source of the backoff's jitter
     */
    public TableWatcher(
            String name,
            ObjectTable<T> table,
            Listener<T> listener,
            long maxWaitMillis,
            DecisionLoop loop,
            RandomGenerator random) {
        this.name = name;
        this.table = table;
        this.listener = listener;
        this.maxWaitMillis = maxWaitMillis;
        this.loop = loop;
        this.clock = loop::nowMillis;
        this.confirmedMillis = clock.getAsLong();
        this.backoff = new Backoff(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS, random);
    }

    /** Starts to list and watch the objects. */
    public void start() {
        list();
    }

    /** Stops watching after the watch in flight; the first list is read all the same. */
    public void pause() {
        paused = true;
    }

    /** Resumes watching. */
    public void resume() {
        paused = false;
        if (!watching && isListed()) {
            watch();
        }
    }

    /** Whether the objects were listed and the latest call succeeded. */
    public boolean isCurrent() {
        return isListed() && consecutiveFailures == 0;
    }

    /** Returns the time since the store last confirmed what was read, milliseconds; may be called on any thread. */
    public long unconfirmedMillis() {
        return clock.getAsLong() - confirmedMillis;
    }

    /** The store has come back from a copy: lists the objects again, whatever calls are in flight. */
    public void eraAdvanced() {
        listener.storeRecovered();
        if (isListed() && !paused) {
            LOG.info("event=watch_restarted table={} position={} cause=era_advanced", name, position);
            list();
        }
    }

    private boolean isListed() {
        return position.revision() >= 0;
    }

    private void list() {
        listNumber++;
        table.list(false, unlessListedAgain(this::handleListResult));
    }

    private void handleListResult(Either<StoreFailure, Listing<T>> result) {
        if (result.isLeft()) {
            retry(result.getLeft(), this::list);
            return;
        }
        position = result.get().position();
        callSucceeded();
        if (deliver(() -> listener.listed(result.get()))) {
            watch();
        }
    }

    private void watch() {
        watching = !paused;
        if (paused) {
            return;
        }
        long waitMillis = consecutiveFailures > 0 ? RECOVERY_WAIT_MILLIS : maxWaitMillis;
        table.watch(position, waitMillis, unlessListedAgain(this::handleWatchResult));
    }

    private void handleWatchResult(Either<StoreFailure, Listing<T>> result) {
        if (result.isLeft()
                && (result.getLeft() instanceof StoreFailure.HistoryGone
                        || result.getLeft() instanceof StoreFailure.EraChanged)) {
            LOG.info(
                    "event=watch_restarted table={} position={} cause=\"{}\"",
                    name,
                    position,
                    result.getLeft().describe());
            list();
        } else if (result.isLeft()) {
            retry(result.getLeft(), this::watch);
        } else {
            position = position.max(result.get().position());
            callSucceeded();
            if (result.get().objects().isEmpty() || deliver(() -> listener.changed(result.get()))) {
                watch();
            }
        }
    }

    /** Returns whether the listener has applied what was read; if not, everything is read again after a delay. */
    private boolean deliver(Runnable delivery) {
        try {
            delivery.run();
            failedDeliveries = 0;
            return true;
        } catch (RuntimeException e) {
            failedDeliveries++;
            StoreFailure failure = new StoreFailure.NotApplied(e.toString());
            LOG.error(
                    "event=change_not_applied table={} position={} failures={} cause=\"{}\"",
                    name,
                    position,
                    failedDeliveries,
                    failure.describe(),
                    e);
            recordFailure(failure);
            schedule(failedDeliveries, this::list);
            return false;
        }
    }

    private void callSucceeded() {
        confirmedMillis = clock.getAsLong();
        if (consecutiveFailures > 0) {
            LOG.info(
                    "event=store_regained table={} failures={} away_ms={}",
                    name,
                    consecutiveFailures,
                    clock.getAsLong() - failedSinceMillis);
            consecutiveFailures = 0;
            listener.storeRecovered();
        }
    }

    private void retry(StoreFailure failure, Runnable call) {
        recordFailure(failure);
        schedule(consecutiveFailures, call);
    }

    private void recordFailure(StoreFailure failure) {
        if (consecutiveFailures == 0) {
            failedSinceMillis = clock.getAsLong();
            LOG.warn("event=store_lost table={} cause=\"{}\"", name, failure.describe());
        } else {
            LOG.info(
                    "event=store_call_failed table={} failures={} away_ms={} cause=\"{}\"",
                    name,
                    consecutiveFailures + 1,
                    clock.getAsLong() - failedSinceMillis,
                    failure.describe());
        }
        consecutiveFailures++;
    }

    private void schedule(int failures, Runnable call) {
        Consumer<Runnable> guarded = unlessListedAgain(Runnable::run);
        loop.schedule(backoff.delayMillis(failures), () -> guarded.accept(call));
    }

    /** Returns a handler that does nothing once the objects are being listed again. */
    private <R> Consumer<R> unlessListedAgain(Consumer<R> handler) {
        int number = listNumber;
        return result -> {
            if (number == listNumber) {
                handler.accept(result);
            }
        };
    }

    /**
     * Receives what a watcher reads.
     *
     * @param <T> type of the objects' values
     */
    public interface Listener<T> {

        /**
         * All objects were read; an object that is not among them does not exist.
         *
         * @param all the objects
         */
        void listed(Listing<T> all);

        /**
         * Some objects changed or were removed.
         *
         * @param changes the objects
         */
        void changed(Listing<T> changes);

        /** The store answers again after a failure; called before its answer is delivered. */
        void storeRecovered();
    }
}
