package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.hyssopswitch.core.identity.EndpointId;

/** The events of one run in chronological order. */
final class History {

    private final List<Entry> entries = new ArrayList<>();

    void add(Entry entry) {
        entries.add(entry);
    }

    <T extends Entry> List<T> entriesOf(Class<T> type) {
        return entries.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Formats the last entries other than those of single operations and of the end of the run, one per line. */
    String formatLastEvents(int count) {
        List<Entry> events = entries.stream()
                .filter(e -> !(e instanceof ReadCompleted)
                        && !(e instanceof WriteCommitted)
                        && !(e instanceof WriteAcknowledged)
                        && !(e instanceof TransactionStarted)
                        && !(e instanceof WriteNotAcknowledged)
                        && !(e instanceof RunEnded))
                .toList();
        StringBuilder text = new StringBuilder();
        events.subList(Math.max(0, events.size() - count), events.size())
                .forEach(e -> text.append("  ").append(e).append('\n'));
        return text.toString();
    }

    sealed interface Entry {
        long atMillis();
    }

    record FaultStarted(long atMillis, String fault) implements Entry {}

    record FaultEnded(long atMillis, String fault) implements Entry {}

    record EndpointPromoted(long atMillis, EndpointId endpoint, long term, String coordinator) implements Entry {}

    /** A primary appended a write to its log. */
    record WriteCommitted(long atMillis, int write, EndpointId endpoint, long term) implements Entry {}

    /** A session received the acknowledgement of its write. */
    record WriteAcknowledged(long atMillis, int write, int session, long term) implements Entry {}

    /** A write ended without an acknowledgement. */
    record WriteNotAcknowledged(long atMillis, int write, boolean reportedNotExecuted) implements Entry {}

    /** A session received the answer to its read; {@code maxAgeMillis} is 0 for reads of the latest data. */
    record ReadCompleted(
            long atMillis,
            long startedMillis,
            int session,
            long maxAgeMillis,
            EndpointId endpoint,
            BitSet visibleWrites)
            implements Entry {}

    /** A read failed or timed out. */
    record ReadFailed(long atMillis, int session) implements Entry {}

    /** The run ended, with the given writes in the primary's log. */
    record RunEnded(long atMillis, List<Integer> writes) implements Entry {}

    /** An endpoint started a transaction. */
    record TransactionStarted(long atMillis, EndpointId endpoint) implements Entry {}

    /** The endpoint's declaration as leaving was withdrawn. */
    record EndpointDeclaredStaying(long atMillis, EndpointId endpoint) implements Entry {}

    /** The endpoint was declared as leaving. */
    record EndpointDeclaredLeaving(long atMillis, EndpointId endpoint) implements Entry {}
}
