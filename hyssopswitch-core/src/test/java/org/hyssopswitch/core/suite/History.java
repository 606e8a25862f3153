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

    <T extends Entry> List<T> of(Class<T> type) {
        return entries.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** The last entries of a kind that explains a failure, one per line. */
    String tail(int count) {
        List<Entry> told = entries.stream()
                .filter(e -> !(e instanceof Read)
                        && !(e instanceof Committed)
                        && !(e instanceof Acked)
                        && !(e instanceof Began)
                        && !(e instanceof Unacked)
                        && !(e instanceof Ended))
                .toList();
        StringBuilder text = new StringBuilder();
        told.subList(Math.max(0, told.size() - count), told.size())
                .forEach(e -> text.append("  ").append(e).append('\n'));
        return text.toString();
    }

    sealed interface Entry {
        long atMillis();
    }

    record FaultBegan(long atMillis, String fault) implements Entry {}

    record FaultEnded(long atMillis, String fault) implements Entry {}

    record Promoted(long atMillis, EndpointId endpoint, long term, String orderer) implements Entry {}

    /** A write entered the log of a primary. */
    record Committed(long atMillis, int write, EndpointId endpoint, long term) implements Entry {}

    /** A write was acknowledged to its session. */
    record Acked(long atMillis, int write, int session, long term) implements Entry {}

    /** A write ended without an acknowledgement. */
    record Unacked(long atMillis, int write, boolean saidNotRun) implements Entry {}

    /** A read was answered; maxAge 0 for the latest. */
    record Read(long atMillis, long startedMillis, int session, long maxAgeMillis, EndpointId endpoint, BitSet visible)
            implements Entry {}

    /** A read was not answered in time. */
    record ReadFailed(long atMillis, int session) implements Entry {}

    /** The run ended with these writes in the log of the primary. */
    record Ended(long atMillis, List<Integer> writes) implements Entry {}

    /** A transaction began at an endpoint. */
    record Began(long atMillis, EndpointId endpoint) implements Entry {}

    /** The endpoint was declared as staying again. */
    record Staying(long atMillis, EndpointId endpoint) implements Entry {}

    /** The endpoint was declared as leaving. */
    record Leaving(long atMillis, EndpointId endpoint) implements Entry {}
}
