package org.hyssopswitch.pool.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Consumer;
import org.hyssopswitch.core.store.StorePosition;

/**
 * The objects of one kind in the store. Calls return at once; each delivers one result, on the decision thread.
 *
 * @param <T> type of the objects' values
 */
public interface ObjectTable<T> {

    /**
     * Reads all objects.
     *
     * @param allowStale whether a result that is seconds old is accepted, which costs less
     * @param done receives the result
     */
    void list(boolean allowStale, Consumer<Either<StoreFailure, Listing<T>>> done);

    /**
     * Waits for changes.
     *
     * @param position only changes after this position of the store are returned
     * @param maxWaitMillis maximum wait, milliseconds; the result is empty if nothing changed
     * @param done receives the changed objects
     */
    void watch(StorePosition position, long maxWaitMillis, Consumer<Either<StoreFailure, Listing<T>>> done);

    /**
     * Reads one object.
     *
     * @param name its name
     * @param done receives the object, or nothing if it does not exist
     */
    void read(String name, Consumer<Either<StoreFailure, Option<VersionedObject<T>>>> done);

    /**
     * Writes one object if it is at the expected position.
     *
     * @param name its name
     * @param expected position of its last change; nothing if it must not exist
     * @param value its new value
     * @param done receives the object as written
     */
    void write(
            String name,
            Option<StorePosition> expected,
            T value,
            Consumer<Either<StoreFailure, VersionedObject<T>>> done);
}
