package org.hyssopswitch.pool.testing;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hyssopswitch.pool.store.Listing;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.pool.store.StoreFailure;
import org.hyssopswitch.pool.store.VersionedObject;

/** An in-memory table that responds in virtual time, with outages and lost responses. */
public final class FakeObjectTable<T> implements ObjectTable<T> {

    private static final long RESPONSE_DELAY_MILLIS = 8;
    private static final long TIMEOUT_MILLIS = 1_200;

    private final ManualLoop loop;
    private final Map<String, VersionedObject<T>> objects = new LinkedHashMap<>();
    private final List<VersionedObject<T>> history = new ArrayList<>();
    private long revision = 1;
    private boolean unavailable;
    private boolean dropResponses;
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

    /** Carries out calls but drops their responses. */
    public void setDropResponses(boolean drop) {
        dropResponses = drop;
    }

    /** Discards the history of changes. */
    public void discardHistory() {
        historyDiscarded = true;
        history.clear();
    }

    /** Returns the number of calls so far. */
    public int callCount() {
        return calls;
    }

    /** Writes an object as another client of the store does. */
    public void put(String name, T value) {
        revision++;
        objects.put(name, new VersionedObject<>(name, revision, Option.some(value)));
        history.add(objects.get(name));
    }

    /** Removes an object as another client of the store does. */
    public void remove(String name) {
        revision++;
        objects.remove(name);
        history.add(new VersionedObject<>(name, revision, Option.none()));
    }

    @Override
    public void list(boolean allowStale, Consumer<Either<StoreFailure, Listing<T>>> done) {
        answer(done, () -> Either.right(new Listing<>(List.copyOf(objects.values()), revision)));
    }

    @Override
    public void watch(long from, long maxWaitMillis, Consumer<Either<StoreFailure, Listing<T>>> done) {
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
        poll(from, loop.nowMillis() + maxWaitMillis, done);
    }

    @Override
    public void read(String name, Consumer<Either<StoreFailure, Option<VersionedObject<T>>>> done) {
        answer(done, () -> Either.right(Option.of(objects.get(name))));
    }

    @Override
    public void write(
            String name, Option<Long> expected, T value, Consumer<Either<StoreFailure, VersionedObject<T>>> done) {
        answer(done, () -> {
            Option<Long> present = Option.of(objects.get(name)).map(VersionedObject::revision);
            if (!present.equals(expected)) {
                return Either.left(new StoreFailure.Conflict());
            }
            put(name, value);
            return Either.right(objects.get(name));
        });
    }

    private void poll(long from, long untilMillis, Consumer<Either<StoreFailure, Listing<T>>> done) {
        List<VersionedObject<T>> changed =
                history.stream().filter(object -> object.revision() > from).toList();
        if (unavailable) {
            done.accept(Either.left(new StoreFailure.Unavailable("cut")));
        } else if (!changed.isEmpty() || loop.nowMillis() >= untilMillis) {
            done.accept(Either.right(new Listing<>(changed, revision)));
        } else {
            loop.schedule(RESPONSE_DELAY_MILLIS, () -> poll(from, untilMillis, done));
        }
    }

    private <R> void answer(Consumer<Either<StoreFailure, R>> done, Supplier<Either<StoreFailure, R>> call) {
        calls++;
        loop.schedule(RESPONSE_DELAY_MILLIS, () -> {
            if (unavailable) {
                done.accept(Either.left(new StoreFailure.Unavailable("away")));
                return;
            }
            Either<StoreFailure, R> result = call.get();
            if (dropResponses) {
                loop.schedule(
                        TIMEOUT_MILLIS, () -> done.accept(Either.left(new StoreFailure.Unavailable("no answer"))));
            } else {
                done.accept(result);
            }
        });
    }
}
