package org.hyssopswitch.pool.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Requests that wait for a connection, ordered by priority and then by arrival. */
final class ConnectionRequestQueue {

    private final List<ConnectionRequest> waiting = new ArrayList<>();
    private final Map<ConnectionRequest, Long> enqueuedMillis = new HashMap<>();

    void add(ConnectionRequest request, long nowMillis) {
        int index = waiting.size();
        while (index > 0 && waiting.get(index - 1).priority() > request.priority()) {
            index--;
        }
        waiting.add(index, request);
        enqueuedMillis.put(request, nowMillis);
    }

    /** Removes a request and returns the time for which it has waited, milliseconds. */
    long remove(ConnectionRequest request, long nowMillis) {
        waiting.remove(request);
        return nowMillis - enqueuedMillis.remove(request);
    }

    boolean contains(ConnectionRequest request) {
        return enqueuedMillis.containsKey(request);
    }

    /** Returns all requests in the order in which they are served. */
    List<ConnectionRequest> all() {
        return List.copyOf(waiting);
    }

    int size() {
        return waiting.size();
    }

    /** Removes and returns all requests. */
    List<ConnectionRequest> drain() {
        List<ConnectionRequest> result = all();
        waiting.clear();
        enqueuedMillis.clear();
        return result;
    }

    /** Removes and returns the requests whose assignment deadline has passed. */
    List<ConnectionRequest> removeExpired(long nowMillis) {
        List<ConnectionRequest> expired = waiting.stream()
                .filter(request -> nowMillis >= request.assignmentDeadlineMillis())
                .toList();
        expired.forEach(request -> remove(request, nowMillis));
        return expired;
    }
}
