package org.hyssopswitch.bench.fleet;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.VmAddress;

/** Answers calls as the platform does: conditional updates, watches that wait, and the list of VMs. */
final class FleetPlatform {

    static final long WATCH_MILLIS = 30_000;

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private List<VmAddress> listed = List.of();
    private long version;
    private boolean up = true;

    void list(List<VmAddress> vms) {
        listed = List.copyOf(vms);
    }

    void up(boolean isUp) {
        up = isUp;
    }

    boolean isUp() {
        return up;
    }

    long write(String path, byte[] value) {
        version++;
        objects.put(path, new StoredObject(path, version, value));
        return version;
    }

    /** Answers a call other than a watch; empty for actions that are none. */
    Optional<Event> answer(Action action) {
        if (action instanceof Action.ReadObject read) {
            return Optional.of(new Event.ObjectCallCompleted(
                    read.call(), up ? Either.right(find(read.path())) : noAnswer(read.path())));
        }
        if (action instanceof Action.UpdateObject update) {
            return Optional.of(new Event.ObjectCallCompleted(update.call(), update(update)));
        }
        if (action instanceof Action.ListVms && up) {
            return Optional.of(new Event.VmsListed(listed, List.of()));
        }
        return Optional.empty();
    }

    /** Answers a watch when there is something to tell. */
    Optional<Event> answer(Action.WatchPrefix watch, boolean timedOut) {
        if (!up) {
            return Optional.of(new Event.PrefixWatchCompleted(watch.call(), noAnswer(watch.prefix())));
        }
        List<StoredObject> changed = new ArrayList<>();
        for (StoredObject object : objects.tailMap(watch.prefix(), true).values()) {
            if (!object.path().startsWith(watch.prefix())) {
                break;
            }
            if (object.version() > watch.afterVersion()) {
                changed.add(object);
            }
        }
        if (changed.isEmpty() && !timedOut) {
            return Optional.empty();
        }
        changed.sort((a, b) -> Long.compare(a.version(), b.version()));
        return Optional.of(
                new Event.PrefixWatchCompleted(watch.call(), Either.right(new PrefixChanges(version, changed))));
    }

    private Either<PlatformFailure, StoredObject> update(Action.UpdateObject update) {
        if (!up) {
            return noAnswer(update.path());
        }
        StoredObject current = find(update.path());
        if (current.version() != update.expectedVersion()) {
            return Either.left(new PlatformFailure.VersionConflict(update.path(), current.version()));
        }
        write(update.path(), update.value());
        return Either.right(find(update.path()));
    }

    private StoredObject find(String path) {
        return objects.getOrDefault(path, new StoredObject(path, 0, new byte[0]));
    }

    private static <T> Either<PlatformFailure, T> noAnswer(String path) {
        return Either.left(new PlatformFailure.NoAnswer(path, "unreachable"));
    }
}
