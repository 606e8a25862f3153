package org.hyssopswitch.core.limit;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;

/** Objects with conditional updates; can be down, and can lose the answer to an update that took effect. */
final class FakeObjectStore {

    private final Map<String, StoredObject> objects = new HashMap<>();
    private final SplittableRandom random;
    private long version;
    private boolean down;
    private double lostAnswers;
    private long reads;
    private long updates;

    FakeObjectStore(SplittableRandom random) {
        this.random = random;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    void setLostAnswerProbability(double probability) {
        lostAnswers = probability;
    }

    long reads() {
        return reads;
    }

    long updates() {
        return updates;
    }

    Optional<Event> perform(Action action) {
        if (action instanceof Action.ReadObject read) {
            reads++;
            return Optional.of(new Event.ObjectCallCompleted(
                    read.call(), down ? noAnswer(read.path()) : Either.right(find(read.path()))));
        }
        if (action instanceof Action.UpdateObject update) {
            updates++;
            return Optional.of(new Event.ObjectCallCompleted(update.call(), update(update)));
        }
        return Optional.empty();
    }

    private Either<PlatformFailure, StoredObject> update(Action.UpdateObject update) {
        if (down) {
            return noAnswer(update.path());
        }
        StoredObject current = find(update.path());
        if (current.version() != update.expectedVersion()) {
            return Either.left(new PlatformFailure.VersionConflict(update.path(), current.version()));
        }
        version++;
        objects.put(update.path(), new StoredObject(update.path(), version, update.value()));
        return random.nextDouble() < lostAnswers ? noAnswer(update.path()) : Either.right(find(update.path()));
    }

    private StoredObject find(String path) {
        return objects.getOrDefault(path, new StoredObject(path, 0, new byte[0]));
    }

    private static Either<PlatformFailure, StoredObject> noAnswer(String path) {
        return Either.left(new PlatformFailure.NoAnswer(path, "timeout"));
    }
}
