package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Requests that wait, ordered by priority and then by arrival. A request waits in one queue of its group, once. */
final class ConnectionRequestQueue {

    private final WaitingPlaces places;
    private final SortedMap<Integer, Map<ConnectionRequest, Waiting>> byPriority = new TreeMap<>();

    ConnectionRequestQueue(WaitingPlaces places) {
        this.places = places;
    }

    /** Adds a request; one that waits here already keeps its position and gets the new deadline. */
    void add(ConnectionRequest request, long deadlineMillis, long nowMillis) {
        places.enter(request, this);
        ofPriority(request)
                .merge(
                        request,
                        new Waiting(nowMillis, deadlineMillis),
                        (earlier, later) -> new Waiting(earlier.sinceMillis(), later.deadlineMillis()));
    }

    /** Removes a request and returns the time for which it has waited, milliseconds; nothing if it does not wait here. */
    Option<Long> remove(ConnectionRequest request, long nowMillis) {
        Option<Waiting> removed = Option.of(ofPriority(request).remove(request));
        removed.forEach(waiting -> places.leave(request));
        return removed.map(waiting -> nowMillis - waiting.sinceMillis());
    }

    boolean contains(ConnectionRequest request) {
        return ofPriority(request).containsKey(request);
    }

    /** Returns all requests in the order in which they are served. */
    List<ConnectionRequest> all() {
        List<ConnectionRequest> result = new ArrayList<>(size());
        byPriority.values().forEach(requests -> result.addAll(requests.keySet()));
        return result;
    }

    int size() {
        int size = 0;
        for (Map<ConnectionRequest, Waiting> requests : byPriority.values()) {
            size += requests.size();
        }
        return size;
    }

    /** Removes and returns all requests. */
    List<ConnectionRequest> drain() {
        List<ConnectionRequest> result = all();
        result.forEach(places::leave);
        byPriority.clear();
        return result;
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<ConnectionRequest> removeExpired(long nowMillis) {
        List<ConnectionRequest> expired = new ArrayList<>();
        byPriority
                .values()
                .forEach(requests -> requests.forEach((request, waiting) -> {
                    if (nowMillis >= waiting.deadlineMillis()) {
                        expired.add(request);
                    }
                }));
        expired.forEach(request -> remove(request, nowMillis));
        return expired;
    }

    /** Removes a request whose place has been cleared already. */
    void drop(ConnectionRequest request) {
        ofPriority(request).remove(request);
    }

    private Map<ConnectionRequest, Waiting> ofPriority(ConnectionRequest request) {
        return byPriority.computeIfAbsent(request.priority(), priority -> new LinkedHashMap<>());
    }

    /**
     * When a request arrived and how long it may wait.
     *
     * @param sinceMillis time of its arrival, milliseconds of the monotonic clock
     * @param deadlineMillis time at which it is refused, milliseconds of the monotonic clock
     */
    private record Waiting(long sinceMillis, long deadlineMillis) {}
}
