package org.hyssopswitch.pool.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Work that waits for a connection: the most important first, equally important work in the order of its arrival. */
final class ConnectionRequestQueue {

    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private final Map<ConnectionRequest, Long> sinceMillis = new HashMap<>();

    void add(ConnectionRequest work, long nowMillis) {
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).priority() > work.priority()) {
            at--;
        }
        waiting.add(at, work);
        sinceMillis.put(work, nowMillis);
    }

    /** Removes work and returns how long it has waited, milliseconds. */
    long remove(ConnectionRequest work, long nowMillis) {
        waiting.remove(work);
        return nowMillis - sinceMillis.remove(work);
    }

    boolean contains(ConnectionRequest work) {
        return sinceMillis.containsKey(work);
    }

    /** All work, in the order in which it is served. */
    List<ConnectionRequest> all() {
        return List.copyOf(waiting);
    }

    int size() {
        return waiting.size();
    }

    /** Removes and returns all work. */
    List<ConnectionRequest> drain() {
        List<ConnectionRequest> result = all();
        waiting.clear();
        sinceMillis.clear();
        return result;
    }

    /** Removes and returns the work whose time to be assigned has passed. */
    List<ConnectionRequest> removeExpired(long nowMillis) {
        List<ConnectionRequest> expired = waiting.stream()
                .filter(work -> nowMillis >= work.assignmentDeadlineMillis())
                .toList();
        expired.forEach(work -> remove(work, nowMillis));
        return expired;
    }
}
