package org.hyssopswitch.standin.group;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.identity.EndpointId;

/** Streams the primary's log to the replicas, after their lag and where the faults in force let it through. */
final class Replication {

    static final long HEARTBEAT_NANOS = 10_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final GroupThread thread;
    private final FaultTable faults;
    private final Map<EndpointId, EndpointRuntime> runtimes = new HashMap<>();
    private final Set<EndpointId> crashed = new HashSet<>();
    private final Set<EndpointId> scheduled = new HashSet<>();

    Replication(GroupThread thread, FaultTable faults) {
        this.thread = thread;
        this.faults = faults;
    }

    void add(EndpointRuntime runtime) {
        runtimes.put(runtime.endpoint().id(), runtime);
    }

    void setCrashed(EndpointId endpoint, boolean down) {
        if (down) {
            crashed.add(endpoint);
        } else {
            crashed.remove(endpoint);
        }
    }

    boolean crashed(EndpointId endpoint) {
        return crashed.contains(endpoint);
    }

    /** Brings every replica up to what has arrived by now. */
    void run() {
        runtimes.values().forEach(this::replicate);
    }

    /** Plans the next delivery to every replica, after a commit or a change of roles. */
    void scheduleAll() {
        runtimes.values().forEach(EndpointRuntime::checkAwaits);
        runtimes.values().forEach(this::schedule);
    }

    private void schedule(EndpointRuntime replica) {
        Endpoint endpoint = replica.endpoint();
        Optional<Endpoint> primary =
                primaryOf(replica).filter(p -> p.log().size() != endpoint.log().size());
        if (primary.isEmpty() || !scheduled.add(endpoint.id())) {
            return;
        }
        long lagNanos = faults.lagMillis(endpoint.id()) * NANOS_PER_MILLI;
        long untilDue = endpoint.nextDueNanos(primary.get(), lagNanos) - thread.nowNanos();
        thread.schedule(() -> deliver(replica), Math.max(0, Math.min(untilDue, HEARTBEAT_NANOS)));
    }

    private void deliver(EndpointRuntime replica) {
        scheduled.remove(replica.endpoint().id());
        replicate(replica);
        schedule(replica);
    }

    private void replicate(EndpointRuntime replica) {
        Endpoint endpoint = replica.endpoint();
        Optional<Endpoint> primary = primaryOf(replica);
        if (primary.isEmpty()) {
            return;
        }
        endpoint.replicate(primary.get(), thread.nowNanos(), faults.lagMillis(endpoint.id()) * NANOS_PER_MILLI);
        replica.checkAwaits();
    }

    private Optional<Endpoint> primaryOf(EndpointRuntime replica) {
        EndpointId id = replica.endpoint().id();
        return replica.endpoint()
                .leader()
                .filter(l -> runs(id) && runs(l) && faults.connected(id, l))
                .map(l -> runtimes.get(l).endpoint());
    }

    private boolean runs(EndpointId endpoint) {
        return runtimes.containsKey(endpoint) && !crashed(endpoint) && !faults.frozen(endpoint);
    }
}
