package org.hyssopswitch.bench.fleet;

import java.util.Map;
import java.util.TreeMap;

/** Counts of messages, bytes and calls by subject. */
public final class Traffic {

    private final Map<String, Long> messages = new TreeMap<>();
    private final Map<String, Long> bytes = new TreeMap<>();
    private final Map<String, Long> calls = new TreeMap<>();

    /** Creates empty counts. */
    public Traffic() {}

    void message(String subject, int size) {
        messages.merge(subject, 1L, Long::sum);
        bytes.merge(subject, (long) size, Long::sum);
    }

    void call(String kind) {
        calls.merge(kind, 1L, Long::sum);
    }

    void clear() {
        messages.clear();
        bytes.clear();
        calls.clear();
    }

    /**
     * Messages sent.
     *
     * @param subject the subject, or an empty text for all
     */
    public long messages(String subject) {
        return sum(messages, subject);
    }

    /**
     * Bytes sent as encoded frames.
     *
     * @param subject the subject, or an empty text for all
     */
    public long bytes(String subject) {
        return sum(bytes, subject);
    }

    /**
     * Calls to the platform.
     *
     * @param kind read, update, watch or list, or an empty text for all
     */
    public long calls(String kind) {
        return sum(calls, kind);
    }

    private static long sum(Map<String, Long> counts, String key) {
        return key.isEmpty()
                ? counts.values().stream().mapToLong(Long::longValue).sum()
                : counts.getOrDefault(key, 0L);
    }
}
