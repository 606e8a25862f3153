package org.hyssopswitch.core.configuration;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.PrefixChanges;
import org.hyssopswitch.core.engine.StoredObject;

/** Platform with the objects below {@code config/teams/}, the history of their versions, and cell reports. */
final class FakeConfigurationPlatform {

    private final TreeMap<Long, StoredObject> current = new TreeMap<>();
    private final TreeMap<Long, Map<String, Long>> history = new TreeMap<>();
    private final Map<String, StoredObject> reports = new HashMap<>();
    private boolean available = true;
    private long version;
    private int calls;

    FakeConfigurationPlatform() {
        history.put(0L, Map.of());
    }

    long write(String team, String value) {
        version++;
        String path = "config/teams/" + team;
        current.values().removeIf(o -> o.path().equals(path));
        current.put(version, new StoredObject(path, version, value.getBytes(StandardCharsets.UTF_8)));
        Map<String, Long> teams = new HashMap<>();
        current.values().stream()
                .filter(o -> o.value().length > 0)
                .forEach(o -> teams.put(o.path().substring("config/teams/".length()), o.version()));
        history.put(version, teams);
        return version;
    }

    long configurationVersion() {
        return history.lastKey();
    }

    Map<String, Long> teamVersionsAt(long ofVersion) {
        return history.get(ofVersion);
    }

    void setAvailable(boolean newValue) {
        available = newValue;
    }

    boolean isAvailable() {
        return available;
    }

    int calls() {
        return calls;
    }

    void recordCall() {
        calls++;
    }

    boolean hasChangesAfter(long after) {
        return !current.tailMap(after, false).isEmpty();
    }

    /** Reads a cell report. */
    Either<PlatformFailure, StoredObject> readReport(String path) {
        calls++;
        return available
                ? Either.right(reports.getOrDefault(path, new StoredObject(path, 0, new byte[0])))
                : Either.left(new PlatformFailure.NoAnswer(path, "down"));
    }

    /** Updates a cell report if it has the expected version. */
    Either<PlatformFailure, StoredObject> updateReport(String path, long expected, byte[] value) {
        Either<PlatformFailure, StoredObject> current = readReport(path);
        if (current.isLeft()) {
            return current;
        }
        if (current.get().version() != expected) {
            return Either.left(
                    new PlatformFailure.VersionConflict(path, current.get().version()));
        }
        version++;
        StoredObject updated = new StoredObject(path, version, value);
        reports.put(path, updated);
        return Either.right(updated);
    }

    /** Returns the text of a cell report. */
    String reportText(String path) {
        return new String(reports.get(path).value(), StandardCharsets.UTF_8);
    }

    Either<PlatformFailure, PrefixChanges> readChanges(long after) {
        if (!available) {
            return Either.left(new PlatformFailure.NoAnswer("config/teams/", "down"));
        }
        List<StoredObject> changed =
                new ArrayList<>(current.tailMap(after, false).values());
        return Either.right(new PrefixChanges(version, changed));
    }
}
