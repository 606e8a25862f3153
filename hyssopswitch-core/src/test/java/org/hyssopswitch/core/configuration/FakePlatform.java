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

/** The objects below {@code config/teams/}, with all versions that were ever accepted. */
final class FakePlatform {

    private final TreeMap<Long, StoredObject> current = new TreeMap<>();
    private final TreeMap<Long, Map<String, Long>> history = new TreeMap<>();
    private boolean up = true;
    private long version;
    private int calls;

    FakePlatform() {
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

    /** A write outside the prefix, such as a lease. */
    void writeElsewhere() {
        version++;
    }

    long configurationVersion() {
        return history.lastKey();
    }

    Map<String, Long> teamsAt(long ofVersion) {
        return history.get(ofVersion);
    }

    void setUp(boolean isUp) {
        up = isUp;
    }

    boolean isUp() {
        return up;
    }

    int calls() {
        return calls;
    }

    void countCall() {
        calls++;
    }

    boolean hasAfter(long after) {
        return !current.tailMap(after, false).isEmpty();
    }

    Either<PlatformFailure, PrefixChanges> answer(long after) {
        if (!up) {
            return Either.left(new PlatformFailure.NoAnswer("config/teams/", "down"));
        }
        List<StoredObject> changed =
                new ArrayList<>(current.tailMap(after, false).values());
        return Either.right(new PrefixChanges(version, changed));
    }
}
