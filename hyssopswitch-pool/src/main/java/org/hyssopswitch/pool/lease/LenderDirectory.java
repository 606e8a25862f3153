package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.placement.RendezvousUtils;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * Determines which VM lends connections to which endpoint.
 *
 * <p>Each endpoint has a few candidates among the VMs of its data centre, in the order of rendezvous hashing. The first
 * candidate that has not failed recently lends, so that VMs with the same list agree unless they see different
 * failures.
 */
final class LenderDirectory {

    /** Maximum number of candidates of an endpoint; when all of them have failed, VMs open their own connections. */
    private static final int MAX_CANDIDATES = 3;

    /** Time for which a VM is not asked after a failure, milliseconds; doubled with each subsequent failure. */
    private static final long INITIAL_BACKOFF_MILLIS = 1_000;

    private static final long MAX_BACKOFF_MILLIS = 30_000;

    /** Time for which a VM is not asked for an endpoint that it cannot reach, milliseconds. */
    private static final long UNREACHABLE_BACKOFF_MILLIS = 3_000;

    private final String self;
    private final Map<String, List<String>> candidates = new HashMap<>();
    private final Map<String, Failure> failures = new HashMap<>();
    private final Map<LenderEndpoint, Long> unreachableUntilMillis = new HashMap<>();
    private final Map<String, Long> stoppingUntilMillis = new HashMap<>();
    private Map<String, String> dataCentres = Map.of();

    LenderDirectory(String self) {
        this.self = self;
    }

    /**
     * Updates the list of VMs.
     *
     * @param dataCentreOf data centre by name of the VM
     */
    void update(Map<String, String> dataCentreOf) {
        dataCentres = Map.copyOf(dataCentreOf);
        candidates.clear();
        failures.keySet().retainAll(dataCentres.keySet());
        stoppingUntilMillis.keySet().retainAll(dataCentres.keySet());
        unreachableUntilMillis.keySet().removeIf(key -> !dataCentres.containsKey(key.vm()));
    }

    /**
     * Returns the VM to ask for connections to an endpoint, possibly this one, or nothing when all candidates have
     * failed.
     *
     * @param endpoint the endpoint
     * @param nowMillis milliseconds of the monotonic clock
     */
    Option<String> lender(Endpoint endpoint, long nowMillis) {
        for (String vm : candidates(endpoint)) {
            Failure failure = failures.get(vm);
            boolean failed = failure != null && nowMillis < failure.untilMillis();
            boolean unreachable =
                    nowMillis < unreachableUntilMillis.getOrDefault(new LenderEndpoint(vm, endpoint.id()), nowMillis);
            boolean stopping = nowMillis < stoppingUntilMillis.getOrDefault(vm, nowMillis);
            if (!stopping && (vm.equals(self) || (!failed && !unreachable))) {
                return Option.some(vm);
            }
        }
        return Option.none();
    }

    /** Records that a VM does not answer or does not lend at all. */
    void markFailed(String vm, long nowMillis) {
        Failure previous = failures.get(vm);
        if (previous != null && nowMillis < previous.untilMillis()) {
            return;
        }
        long backoffMillis =
                previous == null ? INITIAL_BACKOFF_MILLIS : Math.min(MAX_BACKOFF_MILLIS, previous.backoffMillis() * 2);
        failures.put(vm, new Failure(backoffMillis, nowMillis + backoffMillis));
    }

    /** Records that a VM has answered. */
    void markResponsive(String vm) {
        failures.remove(vm);
    }

    /**
     * Records that a VM, possibly this one, has announced that it stops.
     *
     * @param vm name of the VM
     * @param untilMillis time until which it lends nothing, milliseconds of the monotonic clock
     */
    void markStopping(String vm, long untilMillis) {
        stoppingUntilMillis.put(vm, untilMillis);
    }

    /** Records that a VM cannot reach an endpoint. */
    void markEndpointUnreachable(String vm, String endpointId, long nowMillis) {
        unreachableUntilMillis.put(new LenderEndpoint(vm, endpointId), nowMillis + UNREACHABLE_BACKOFF_MILLIS);
    }

    private List<String> candidates(Endpoint endpoint) {
        return candidates.computeIfAbsent(endpoint.id(), id -> {
            List<String> local = rankedVms(id, endpoint.dataCentre());
            return local.isEmpty() ? rankedVms(id, "") : local;
        });
    }

    /** Returns the highest-ranked VMs of a data centre, or of all data centres when it is empty. */
    private List<String> rankedVms(String endpointId, String dataCentre) {
        return dataCentres.entrySet().stream()
                .filter(vm -> dataCentre.isEmpty() || vm.getValue().equals(dataCentre))
                .map(Map.Entry::getKey)
                .sorted(RendezvousUtils.byScore(endpointId, vm -> vm))
                .limit(MAX_CANDIDATES)
                .toList();
    }

    private record Failure(long backoffMillis, long untilMillis) {}

    private record LenderEndpoint(String vm, String endpointId) {}
}
