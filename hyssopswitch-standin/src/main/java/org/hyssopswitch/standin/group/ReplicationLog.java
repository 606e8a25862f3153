package org.hyssopswitch.standin.group;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.position.LogPosition;

/** The log of one endpoint. Two logs with an entry of the same term at the same offset are equal up to it. */
final class ReplicationLog {

    private final List<LogEntry> entries = new ArrayList<>();
    private long termStart;

    LogPosition position() {
        return entries.isEmpty() ? LogPosition.ZERO : new LogPosition(lastTerm(), entries.size());
    }

    /** Offset at which the log of the last entry's term began. */
    long termStart() {
        return termStart;
    }

    int size() {
        return entries.size();
    }

    LogEntry get(int index) {
        return entries.get(index);
    }

    List<LogEntry> entries() {
        return entries;
    }

    void append(LogEntry entry) {
        if (entry.term() != lastTerm()) {
            termStart = entries.size();
        }
        entries.add(entry);
    }

    /** Number of entries that both logs have in common. */
    int commonPrefix(ReplicationLog other) {
        int common = Math.min(size(), other.size());
        while (common > 0 && get(common - 1).term() != other.get(common - 1).term()) {
            common--;
        }
        return common;
    }

    void truncate(int size) {
        entries.subList(size, entries.size()).clear();
        int start = size;
        while (start > 0 && entries.get(start - 1).term() == lastTerm()) {
            start--;
        }
        termStart = start;
    }

    private long lastTerm() {
        return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).term();
    }
}
