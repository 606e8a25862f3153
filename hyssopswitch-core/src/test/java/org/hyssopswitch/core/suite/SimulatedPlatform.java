package org.hyssopswitch.core.suite;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;

/** In-memory object store of the platform with versions and conditional updates. */
final class SimulatedPlatform {

    boolean unavailable;
    boolean dropsUpdateAnswers;
    long delayMillis = 3;

    private final Map<String, StoredObject> objects = new HashMap<>();
    private long version;

    /** Executes a read or an update. An update whose answer is lost takes effect and still returns a failure. */
    Either<PlatformFailure, StoredObject> call(Action action) {
        if (unavailable) {
            return Either.left(new PlatformFailure.NoAnswer("", "down"));
        }
        if (action instanceof Action.UpdateObject update) {
            Either<PlatformFailure, StoredObject> result = update(update);
            return dropsUpdateAnswers ? Either.left(new PlatformFailure.NoAnswer(update.path(), "lost")) : result;
        }
        return Either.right(read(((Action.ReadObject) action).path()));
    }

    private StoredObject read(String path) {
        return objects.getOrDefault(path, new StoredObject(path, 0, new byte[0]));
    }

    private Either<PlatformFailure, StoredObject> update(Action.UpdateObject update) {
        long current = read(update.path()).version();
        if (current != update.expectedVersion()) {
            return Either.left(new PlatformFailure.VersionConflict(update.path(), current));
        }
        StoredObject stored = new StoredObject(update.path(), ++version, update.value());
        objects.put(update.path(), stored);
        return Either.right(stored);
    }
}
