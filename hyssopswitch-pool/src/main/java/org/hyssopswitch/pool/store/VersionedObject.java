package org.hyssopswitch.pool.store;

import io.vavr.control.Option;

/**
 * An object of the store with its revision.
 *
 * @param name its name
 * @param revision store-wide number of its last change
 * @param value its value; nothing if the object was removed or its content is unusable
 * @param <T> type of the value
 */
public record VersionedObject<T>(String name, long revision, Option<T> value) {}
