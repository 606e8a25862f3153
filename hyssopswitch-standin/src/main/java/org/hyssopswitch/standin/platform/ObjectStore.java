package org.hyssopswitch.standin.platform;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;

/** The objects, with store-wide versions. Not thread-safe. */
final class ObjectStore {

    private static final byte[] NO_VALUE = new byte[0];

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long version;

    StoredObject read(String path) {
        return objects.getOrDefault(path, new StoredObject(path, 0, NO_VALUE));
    }

    PrefixChanges changes(String prefix, long after) {
        List<StoredObject> changed = objects.tailMap(prefix).values().stream()
                .takeWhile(o -> o.path().startsWith(prefix))
                .filter(o -> o.version() > after)
                .sorted(Comparator.comparingLong(StoredObject::version))
                .toList();
        return new PrefixChanges(version, changed);
    }

    /** Writes an object that has the expected version; empty when it has another. */
    Optional<StoredObject> update(String path, long expected, byte[] value) {
        if (read(path).version() != expected) {
            return Optional.empty();
        }
        StoredObject updated = new StoredObject(path, ++version, value);
        objects.put(path, updated);
        return Optional.of(updated);
    }
}
