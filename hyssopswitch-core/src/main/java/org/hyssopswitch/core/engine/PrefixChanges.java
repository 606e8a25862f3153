package org.hyssopswitch.core.engine;

import java.util.List;

/**
 * The objects below a prefix that have changed.
 *
 * @param version store-wide version up to which the list is complete
 * @param objects objects with a version above the one asked for, in order of version; a deleted object has no value
 */
public record PrefixChanges(long version, List<StoredObject> objects) {

    /** Copies the list. */
    public PrefixChanges {
        objects = List.copyOf(objects);
    }
}
