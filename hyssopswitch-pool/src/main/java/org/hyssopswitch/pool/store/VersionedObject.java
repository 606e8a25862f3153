package org.hyssopswitch.pool.store;

import io.vavr.control.Option;
import org.hyssopswitch.core.store.StorePosition;

/**
 * An object of the store with the position of its last change.
 *
 * @param name its name
 * @param position store-wide position of its last change
 * @param value its value; nothing if the object was removed or its content is unusable
 * @param <T> type of the value
 */
public record VersionedObject<T>(String name, StorePosition position, Option<T> value) {}
