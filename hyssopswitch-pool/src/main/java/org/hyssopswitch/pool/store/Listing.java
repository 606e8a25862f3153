package org.hyssopswitch.pool.store;

import java.util.List;
import org.hyssopswitch.core.store.StorePosition;

/**
 * Objects of one kind: all of them, or those that changed.
 *
 * @param objects the objects
 * @param position position of the store that they reflect
 * @param <T> type of the objects' values
 */
public record Listing<T>(List<VersionedObject<T>> objects, StorePosition position) {

    /** Copies the list. */
    public Listing {
        objects = List.copyOf(objects);
    }
}
