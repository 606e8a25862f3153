package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Checks a recorded history against the guarantees of membership, placement, sessions and failover. */
final class Audit {

    private static final long DRAIN_MILLIS = 3_000;
    private static final int MAX_EXAMPLES = 3;

    private final History history;
    private final List<String> violations = new ArrayList<>();

    private Audit(History history) {
        this.history = history;
    }

    /** Returns the violated guarantees, one line each; empty if all guarantees hold. */
    static List<String> findViolations(History history) {
        Audit audit = new Audit(history);
        audit.checkAll();
        return audit.violations;
    }

    private void checkAll() {
        Map<Integer, History.WriteCommitted> committed = new HashMap<>();
        history.entriesOf(History.WriteCommitted.class).forEach(c -> committed.putIfAbsent(c.write(), c));
        List<History.WriteAcknowledged> acked = history.entriesOf(History.WriteAcknowledged.class);
        History.RunEnded end = history.entriesOf(History.RunEnded.class).get(0);
        Set<Integer> finalWrites = new HashSet<>(end.writes());
        report("acknowledged write lost", acked, a -> !finalWrites.contains(a.write()));
        report(
                "write acknowledged by a replaced primary",
                acked,
                a -> wasCommittedAfterReplacement(committed.get(a.write())));
        report(
                "write doubled",
                List.copyOf(finalWrites),
                w -> end.writes().indexOf(w) != end.writes().lastIndexOf(w));
        report("write committed twice", history.entriesOf(History.WriteCommitted.class), c -> !committed
                .get(c.write())
                .equals(c));
        report(
                "write said not to have run has run",
                history.entriesOf(History.WriteNotAcknowledged.class),
                u -> u.reportedNotExecuted() && committed.containsKey(u.write()));
        report(
                "two primaries in one term",
                history.entriesOf(History.EndpointPromoted.class),
                this::hasOtherPrimaryInTerm);
        report(
                "leaving endpoint got work",
                history.entriesOf(History.TransactionStarted.class),
                this::startedAfterDrain);
        checkReads(acked);
    }

    private void checkReads(List<History.WriteAcknowledged> acked) {
        List<History.ReadCompleted> reads = history.entriesOf(History.ReadCompleted.class);
        report("session did not read its own write", reads, r -> acked.stream()
                .anyMatch(a -> a.session() == r.session() && isMissing(a, r, r.startedMillis())));
        report("read older than its route accepts", reads, r -> acked.stream()
                .anyMatch(a -> isMissing(a, r, r.startedMillis() - r.maxAgeMillis())));
    }

    private static boolean isMissing(History.WriteAcknowledged acked, History.ReadCompleted read, long beforeMillis) {
        return acked.atMillis() < beforeMillis && !read.visibleWrites().get(acked.write());
    }

    private boolean wasCommittedAfterReplacement(History.WriteCommitted committed) {
        return history.entriesOf(History.EndpointPromoted.class).stream()
                .anyMatch(p -> p.term() > committed.term() && p.atMillis() < committed.atMillis());
    }

    private boolean hasOtherPrimaryInTerm(History.EndpointPromoted promoted) {
        return history.entriesOf(History.EndpointPromoted.class).stream()
                .anyMatch(p -> p.term() == promoted.term() && !p.endpoint().equals(promoted.endpoint()));
    }

    private boolean startedAfterDrain(History.TransactionStarted began) {
        return history.entriesOf(History.EndpointDeclaredLeaving.class).stream()
                .filter(l -> l.endpoint().equals(began.endpoint()) && l.atMillis() + DRAIN_MILLIS < began.atMillis())
                .anyMatch(l -> history.entriesOf(History.EndpointDeclaredStaying.class).stream()
                        .noneMatch(s -> s.atMillis() >= l.atMillis() && s.atMillis() <= began.atMillis()));
    }

    private <T> void report(String violation, List<T> entries, Predicate<T> broken) {
        List<T> found = entries.stream().filter(broken).toList();
        if (!found.isEmpty()) {
            String examples =
                    found.stream().limit(MAX_EXAMPLES).map(Object::toString).collect(Collectors.joining(" "));
            violations.add(violation + ": " + found.size() + " times, such as " + examples);
        }
    }
}
