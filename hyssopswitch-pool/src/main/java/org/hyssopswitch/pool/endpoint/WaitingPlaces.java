package org.hyssopswitch.pool.endpoint;

import java.util.IdentityHashMap;

/**
 * The queue in which each request of a group waits.
 *
 * <p>A read that is hedged and then loses its first connection is submitted while it still waits. It then moves to the
 * queue that it was submitted to last, so that no two queues serve or refuse it.
 */
final class WaitingPlaces {

    private final IdentityHashMap<ConnectionRequest, ConnectionRequestQueue> queues = new IdentityHashMap<>();

    /** Records that a request waits in a queue, and removes it from the other one where it waited. */
    void enter(ConnectionRequest request, ConnectionRequestQueue queue) {
        ConnectionRequestQueue previous = queues.put(request, queue);
        if (previous != null && previous != queue) {
            previous.drop(request);
        }
    }

    /** Removes a request from the queue where it waits, if any. */
    void withdraw(ConnectionRequest request) {
        ConnectionRequestQueue queue = queues.remove(request);
        if (queue != null) {
            queue.drop(request);
        }
    }

    /** Records that a request no longer waits. */
    void leave(ConnectionRequest request) {
        queues.remove(request);
    }
}
