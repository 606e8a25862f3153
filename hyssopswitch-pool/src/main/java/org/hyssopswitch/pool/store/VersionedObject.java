package org.hyssopswitch.pool.store;

import io.vavr.control.Option;

/**
 * An object of the store.
 *
 * @param name its name
 * @param revision store-wide number of its last change
 * @param value its value; nothing when it is removed or cannot be used
 * @param <T> what it holds
 */
public record VersionedObject<T>(String name, long revision, Option<T> value) {}
