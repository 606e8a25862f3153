package org.hyssopswitch.pool.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Consumer;

/**
 * The objects of one kind. Calls return at once; results arrive on the decision thread, once for each call.
 *
 * @param <T> what the objects hold
 */
public interface ObjectTable<T> {

    /**
     * Reads all objects.
     *
     * @param allowStale whether the result may be seconds old, which costs less
     * @param done takes the result
     */
    void list(boolean allowStale, Consumer<Either<StoreFailure, Listing<T>>> done);

    /**
     * Waits for changes.
     *
     * @param revision only changes after this revision of the store are returned
     * @param maxWaitMillis longest wait, milliseconds; the result is empty when nothing changed
     * @param done takes the changed objects
     */
    void watch(long revision, long maxWaitMillis, Consumer<Either<StoreFailure, Listing<T>>> done);

    /**
     * Reads one object.
     *
     * @param name its name
     * @param done takes the object, or nothing when it does not exist
     */
    void read(String name, Consumer<Either<StoreFailure, Option<VersionedObject<T>>>> done);

    /**
     * Writes one object under a condition.
     *
     * @param name its name
     * @param expected its revision; nothing when it must not exist
     * @param value what it is to hold
     * @param done takes the object as written
     */
    void write(String name, Option<Long> expected, T value, Consumer<Either<StoreFailure, VersionedObject<T>>> done);
}
