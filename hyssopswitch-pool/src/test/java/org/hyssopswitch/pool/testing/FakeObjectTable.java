package org.hyssopswitch.pool.testing;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.core.store.StorePosition;
import org.hyssopswitch.pool.store.EraCheckUtils;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;

/**
 * An in-memory table that responds in virtual time, with outages, lost responses and returns from a copy. Its own calls
 * observe eras with a tracker of their own; each VM of a test can have a client with another.
 */
public final class FakeObjectTable<T> implements ObjectTable<T> {

    private static final long RESPONSE_DELAY_MILLIS = 8;
    private static final long TIMEOUT_MILLIS = 1_200;

    /** Time that a caller gives the answer of a watch after its longest wait, milliseconds. */
    private static final long WATCH_MARGIN_MILLIS = 700;

    private final ManualLoop loop;
    private final Map<String, VersionedObject<T>> objects = new LinkedHashMap<>();
    private final List<VersionedObject<T>> history = new ArrayList<>();
    private final StoreEraTracker ownTracker = new StoreEraTracker();
    private long era;
    private long revision = 1;
    private boolean unavailable;
    private boolean dropResponses;
    private boolean silent;
    private boolean historyDiscarded;
    private int calls;

    /** Creates an empty table. */
    public FakeObjectTable(ManualLoop loop) {
        this.loop = loop;
    }

    /** Fails all calls. */
    public void setUnavailable(boolean fail) {
        unavailable = fail;
    }

    /** Swallows calls, also those in flight: they end by their timeouts, whenever the outage ends. */
    public void setSilent(boolean swallow) {
        silent = swallow;
    }

    /** Carries out calls but drops their responses. */
    public void setDropResponses(boolean drop) {
        dropResponses = drop;
    }

    /** Discards the history of changes. */
    public void discardHistory() {
        historyDiscarded = true;
        history.clear();
    }

    /** Sets the era that answers report, 0 for a store that reports none. */
    public void setEra(long reported) {
        era = reported;
    }

    /** Returns a copy of the table's state. */
    public Copy<T> copy() {
        return new Copy<>(new LinkedHashMap<>(objects), List.copyOf(history), revision);
    }

    /** Comes back from a copy in the next era: what was written since the copy is gone, and revisions are reused. */
    public void restore(Copy<T> copy) {
        objects.clear();
        copy.objects()
                .forEach((name, object) -> objects.put(
                        name, new VersionedObject<>(name, at(object.position().revision(), era + 1), object.value())));
        history.clear();
        copy.history()
                .forEach(object -> history.add(new VersionedObject<>(
                        object.name(), at(object.position().revision(), era + 1), object.value())));
        revision = copy.revision();
        era++;
    }

    /** Returns the table as seen by one VM. */
    public ObjectTable<T> client(StoreEraTracker tracker) {
        return new Client(tracker);
    }

    /** Returns the tracker of the table's own calls. */
    public StoreEraTracker ownTracker() {
        return ownTracker;
    }

    private static StorePosition at(long revision, long era) {
        return new StorePosition(era, revision);
    }

    /** Returns the number of calls so far. */
    public int callCount() {
        return calls;
    }

    /** Writes an object as another client of the store does. */
    public void put(String name, T value) {
        revision++;
        objects.put(name, new VersionedObject<>(name, at(revision, era), Option.some(value)));
        history.add(objects.get(name));
    }

    /** Removes an object as another client of the store does. */
    public void remove(String name) {
        revision++;
        objects.remove(name);
        history.add(new VersionedObject<>(name, at(revision, era), Option.none()));
    }

    @Override
    public void list(boolean allowStale, Consumer<Either<StoreFailure, Listing<T>>> done) {
        client(ownTracker).list(allowStale, done);
    }

    @Override
    public void watch(StorePosition from, long maxWaitMillis, Consumer<Either<StoreFailure, Listing<T>>> done) {
        client(ownTracker).watch(from, maxWaitMillis, done);
    }

    @Override
    public void read(String name, Consumer<Either<StoreFailure, Option<VersionedObject<T>>>> done) {
        client(ownTracker).read(name, done);
    }

    @Override
    public void write(
            String name,
            Option<StorePosition> expected,
            T value,
            Consumer<Either<StoreFailure, VersionedObject<T>>> done) {
        client(ownTracker).write(name, expected, value, done);
    }

    /** The state of a table at one moment. */
    public record Copy<T>(Map<String, VersionedObject<T>> objects, List<VersionedObject<T>> history, long revision) {}

    private final class Client implements ObjectTable<T> {

        private final StoreEraTracker tracker;

        Client(StoreEraTracker tracker) {
            this.tracker = tracker;
        }

        @Override
        public void list(boolean allowStale, Consumer<Either<StoreFailure, Listing<T>>> done) {
            answer(done, () -> Either.right(new Listing<>(List.copyOf(objects.values()), at(revision, era))));
        }

        @Override
        public void watch(StorePosition from, long maxWaitMillis, Consumer<Either<StoreFailure, Listing<T>>> done) {
            Either<StoreFailure, Long> valid = EraCheckUtils.checkPosition(from.era(), tracker.current());
            if (valid.isLeft()) {
                done.accept(Either.left(valid.getLeft()));
                return;
            }
            if (unavailable) {
                answer(done, () -> Either.left(new StoreFailure.Unavailable("away")));
                return;
            }
            if (historyDiscarded) {
                historyDiscarded = false;
                answer(done, () -> Either.left(new StoreFailure.HistoryGone()));
                return;
            }
            calls++;
            poll(from, loop.nowMillis(), loop.nowMillis() + maxWaitMillis, done);
        }

        @Override
        public void read(String name, Consumer<Either<StoreFailure, Option<VersionedObject<T>>>> done) {
            answer(done, () -> Either.right(Option.of(objects.get(name))));
        }

        @Override
        public void write(
                String name,
                Option<StorePosition> expected,
                T value,
                Consumer<Either<StoreFailure, VersionedObject<T>>> done) {
            answer(done, () -> {
                // Like the real store, compares revisions only: one of an earlier era may exist again.
                Option<Long> present = Option.of(objects.get(name))
                        .map(object -> object.position().revision());
                if (!present.equals(expected.map(StorePosition::revision))) {
                    return Either.left(new StoreFailure.Conflict());
                }
                put(name, value);
                return EraCheckUtils.checkExpected(expected, era).map(checked -> objects.get(name));
            });
        }

        private void poll(
                StorePosition from,
                long sentMillis,
                long untilMillis,
                Consumer<Either<StoreFailure, Listing<T>>> done) {
            List<VersionedObject<T>> changed = history.stream()
                    .filter(object -> object.position().revision() > from.revision())
                    .toList();
            if (unavailable) {
                done.accept(Either.left(new StoreFailure.Unavailable("cut")));
            } else if (silent) {
                timeOut(Math.max(sentMillis + TIMEOUT_MILLIS, untilMillis + WATCH_MARGIN_MILLIS), done);
            } else if (from.revision() > revision) {
                done.accept(observe(Either.left(new StoreFailure.HistoryGone())));
            } else if (!changed.isEmpty() || loop.nowMillis() >= untilMillis) {
                done.accept(observe(Either.<StoreFailure, Listing<T>>right(new Listing<>(changed, at(revision, era))))
                        .flatMap(listing -> EraCheckUtils.checkPosition(
                                        from.era(), listing.position().era())
                                .map(checked -> listing)));
            } else {
                loop.schedule(RESPONSE_DELAY_MILLIS, () -> poll(from, sentMillis, untilMillis, done));
            }
        }

        private <R> void timeOut(long atMillis, Consumer<Either<StoreFailure, R>> done) {
            loop.schedule(
                    atMillis - loop.nowMillis(),
                    () -> done.accept(Either.left(new StoreFailure.Unavailable("no answer"))));
        }

        private <R> void answer(Consumer<Either<StoreFailure, R>> done, Supplier<Either<StoreFailure, R>> call) {
            calls++;
            if (silent) {
                timeOut(loop.nowMillis() + TIMEOUT_MILLIS, done);
                return;
            }
            loop.schedule(RESPONSE_DELAY_MILLIS, () -> {
                if (unavailable) {
                    done.accept(Either.left(new StoreFailure.Unavailable("away")));
                    return;
                }
                Either<StoreFailure, R> result = call.get();
                if (dropResponses) {
                    timeOut(loop.nowMillis() + TIMEOUT_MILLIS, done);
                } else {
                    done.accept(observe(result));
                }
            });
        }

        private <R> Either<StoreFailure, R> observe(Either<StoreFailure, R> result) {
            List<String> reported = era == 0 ? List.of() : List.of(Long.toString(era));
            return EraCheckUtils.check(tracker, reported, result.isRight()).flatMap(checked -> result);
        }
    }
}
