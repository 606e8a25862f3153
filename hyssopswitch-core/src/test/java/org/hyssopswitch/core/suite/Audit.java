package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Checks a recorded history against the promises that membership, placement, sessions and failover carry. */
final class Audit {

    private static final long DRAIN_MILLIS = 3_000;
    private static final int SHOWN = 3;

    private final History history;
    private final List<String> violations = new ArrayList<>();

    private Audit(History history) {
        this.history = history;
    }

    /** The broken promises, one line each; empty when all hold. */
    static List<String> violations(History history) {
        Audit audit = new Audit(history);
        audit.oneDescriptionPerPromise();
        return audit.violations;
    }

    private void oneDescriptionPerPromise() {
        Map<Integer, History.Committed> committed = new HashMap<>();
        history.of(History.Committed.class).forEach(c -> committed.putIfAbsent(c.write(), c));
        List<History.Acked> acked = history.of(History.Acked.class);
        History.Ended end = history.of(History.Ended.class).get(0);
        Set<Integer> kept = new HashSet<>(end.writes());
        report("acknowledged write lost", acked, a -> !kept.contains(a.write()));
        report("write acknowledged by a replaced primary", acked, a -> wasReplaced(committed.get(a.write())));
        report(
                "write doubled",
                List.copyOf(kept),
                w -> end.writes().indexOf(w) != end.writes().lastIndexOf(w));
        report("write committed twice", history.of(History.Committed.class), c -> !committed
                .get(c.write())
                .equals(c));
        report(
                "write said not to have run has run",
                history.of(History.Unacked.class),
                u -> u.saidNotRun() && committed.containsKey(u.write()));
        report("two primaries in one term", history.of(History.Promoted.class), this::hasRival);
        report("leaving endpoint got work", history.of(History.Began.class), this::isAfterDrain);
        reads(acked);
    }

    private void reads(List<History.Acked> acked) {
        List<History.Read> reads = history.of(History.Read.class);
        report("session did not read its own write", reads, r -> acked.stream()
                .anyMatch(a -> a.session() == r.session() && isMissing(a, r, r.startedMillis())));
        report("read older than its route accepts", reads, r -> acked.stream()
                .anyMatch(a -> isMissing(a, r, r.startedMillis() - r.maxAgeMillis())));
    }

    private static boolean isMissing(History.Acked acked, History.Read read, long beforeMillis) {
        return acked.atMillis() < beforeMillis && !read.visible().get(acked.write());
    }

    private boolean wasReplaced(History.Committed committed) {
        return history.of(History.Promoted.class).stream()
                .anyMatch(p -> p.term() > committed.term() && p.atMillis() < committed.atMillis());
    }

    private boolean hasRival(History.Promoted promoted) {
        return history.of(History.Promoted.class).stream()
                .anyMatch(p -> p.term() == promoted.term() && !p.endpoint().equals(promoted.endpoint()));
    }

    private boolean isAfterDrain(History.Began began) {
        return history.of(History.Leaving.class).stream()
                .filter(l -> l.endpoint().equals(began.endpoint()) && l.atMillis() + DRAIN_MILLIS < began.atMillis())
                .anyMatch(l -> history.of(History.Staying.class).stream()
                        .noneMatch(s -> s.atMillis() >= l.atMillis() && s.atMillis() <= began.atMillis()));
    }

    private <T> void report(String promise, List<T> entries, Predicate<T> broken) {
        List<T> found = entries.stream().filter(broken).toList();
        if (!found.isEmpty()) {
            String shown = found.stream().limit(SHOWN).map(Object::toString).collect(Collectors.joining(" "));
            violations.add(promise + ": " + found.size() + " times, such as " + shown);
        }
    }
}
