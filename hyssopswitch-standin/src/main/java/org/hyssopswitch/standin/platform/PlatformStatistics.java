package org.hyssopswitch.standin.platform;

import java.util.Map;

/**
 * Counters of the platform.
 *
 * @param calls calls by kind, refused ones included
 * @param throttled calls refused because of the rate
 * @param waiting watches that wait now
 */
public record PlatformStatistics(Map<CallKind, Long> calls, long throttled, int waiting) {

    /** Copies the map. */
    public PlatformStatistics {
        calls = Map.copyOf(calls);
    }

    /**
     * Calls of one kind.
     *
     * @param kind the kind
     */
    public long calls(CallKind kind) {
        return calls.getOrDefault(kind, 0L);
    }

    /** Calls of all kinds. */
    public long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }
}
