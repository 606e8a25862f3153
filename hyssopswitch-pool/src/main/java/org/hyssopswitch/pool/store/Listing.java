package org.hyssopswitch.pool.store;

import java.util.List;

/**
 * Objects of one kind: all of them, or those that changed.
 *
 * @param objects the objects
 * @param revision revision of the store that they reflect
 * @param <T> type of the objects' values
 */
public record Listing<T>(List<VersionedObject<T>> objects, long revision) {

    /** Copies the list. */
    public Listing {
        objects = List.copyOf(objects);
    }
}
