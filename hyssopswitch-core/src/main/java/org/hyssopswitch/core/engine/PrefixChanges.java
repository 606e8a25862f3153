package org.hyssopswitch.core.engine;

import java.util.List;

/**
 * The objects below a prefix that have changed since a version.
 *
 * @param version store-wide version up to which the list is complete
 * @param objects the objects with a version above the requested one, ordered by version; a deleted object has an empty
 *     value
 */
public record PrefixChanges(long version, List<StoredObject> objects) {

    /** Copies the list. */
    public PrefixChanges {
        objects = List.copyOf(objects);
    }
}
