package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.hyssopswitch.core.identity.EndpointId;

/** What happened in one run, in order of time. */
final class History {

    private final List<Entry> entries = new ArrayList<>();

    void add(Entry entry) {
        entries.add(entry);
    }

    <T extends Entry> List<T> entriesOf(Class<T> type) {
        return entries.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** The last entries of a kind that explains a failure, one per line. */
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

    /** A write entered the log of a primary. */
    record WriteCommitted(long atMillis, int write, EndpointId endpoint, long term) implements Entry {}

    /** A write was acknowledged to its session. */
    record WriteAcknowledged(long atMillis, int write, int session, long term) implements Entry {}

    /** A write ended without an acknowledgement. */
    record WriteNotAcknowledged(long atMillis, int write, boolean reportedNotExecuted) implements Entry {}

    /** A read was answered; maxAge 0 for the latest. */
    record ReadCompleted(
            long atMillis,
            long startedMillis,
            int session,
            long maxAgeMillis,
            EndpointId endpoint,
            BitSet visibleWrites)
            implements Entry {}

    /** A read was not answered in time. */
    record ReadFailed(long atMillis, int session) implements Entry {}

    /** The run ended with these writes in the log of the primary. */
    record RunEnded(long atMillis, List<Integer> writes) implements Entry {}

    /** A transaction began at an endpoint. */
    record TransactionStarted(long atMillis, EndpointId endpoint) implements Entry {}

    /** The endpoint was declared as staying again. */
    record EndpointDeclaredStaying(long atMillis, EndpointId endpoint) implements Entry {}

    /** The endpoint was declared as leaving. */
    record EndpointDeclaredLeaving(long atMillis, EndpointId endpoint) implements Entry {}
}
