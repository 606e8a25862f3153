package org.hyssopswitch.pool.lease;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.placement.RendezvousUtils;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * Which VM lends connections to which endpoint.
 *
 * <p>Each endpoint has a few candidates among the VMs of its data centre, in the order of rendezvous hashing. The first
 * one that has not failed lately lends, so that VMs with the same list agree unless they see different failures.
 */
final class LenderDirectory {

    /** Candidates of an endpoint; beyond them, VMs connect themselves. */
    private static final int CANDIDATES = 3;

    /** Time for which a VM is not asked after a failure, milliseconds; doubled with each failure that follows. */
    private static final long FIRST_PAUSE_MILLIS = 1_000;

    private static final long MAX_PAUSE_MILLIS = 30_000;

    /** Time for which a VM is not asked for an endpoint that it does not reach, milliseconds. */
    private static final long UNREACHABLE_PAUSE_MILLIS = 3_000;

    private final String self;
    private final Map<String, List<String>> candidates = new HashMap<>();
    private final Map<String, Failure> failures = new HashMap<>();
    private final Map<Path, Long> blockedUntilMillis = new HashMap<>();
    private Map<String, String> dataCentres = Map.of();

    LenderDirectory(String self) {
        this.self = self;
    }

    /**
     * Takes the list of VMs.
     *
     * @param dataCentreOf data centre by name of the VM
     */
    void update(Map<String, String> dataCentreOf) {
        dataCentres = Map.copyOf(dataCentreOf);
        candidates.clear();
        failures.keySet().retainAll(dataCentres.keySet());
        blockedUntilMillis.keySet().removeIf(path -> !dataCentres.containsKey(path.vm()));
    }

    /**
     * The VM to ask for connections to an endpoint, possibly this one; nothing when all candidates failed.
     *
     * @param endpoint the endpoint
     * @param nowMillis milliseconds of the monotonic clock
     */
    Option<String> lender(Endpoint endpoint, long nowMillis) {
        for (String vm : candidates(endpoint)) {
            Failure failure = failures.get(vm);
            boolean failed = failure != null && nowMillis < failure.untilMillis();
            boolean blocked = nowMillis < blockedUntilMillis.getOrDefault(new Path(vm, endpoint.id()), nowMillis);
            if (vm.equals(self) || (!failed && !blocked)) {
                return Option.some(vm);
            }
        }
        return Option.none();
    }

    /** A VM does not answer or does not lend at all. */
    void markFailed(String vm, long nowMillis) {
        Failure previous = failures.get(vm);
        if (previous != null && nowMillis < previous.untilMillis()) {
            return;
        }
        long pause = previous == null ? FIRST_PAUSE_MILLIS : Math.min(MAX_PAUSE_MILLIS, previous.pauseMillis() * 2);
        failures.put(vm, new Failure(pause, nowMillis + pause));
    }

    /** A VM has answered. */
    void markResponsive(String vm) {
        failures.remove(vm);
    }

    /** A VM does not reach an endpoint. */
    void markEndpointUnreachable(String vm, String endpointId, long nowMillis) {
        blockedUntilMillis.put(new Path(vm, endpointId), nowMillis + UNREACHABLE_PAUSE_MILLIS);
    }

    private List<String> candidates(Endpoint endpoint) {
        return candidates.computeIfAbsent(endpoint.id(), id -> {
            List<String> local = ranked(id, endpoint.dataCentre());
            return local.isEmpty() ? ranked(id, "") : local;
        });
    }

    /** The first VMs of a data centre, or of all when it is empty. */
    private List<String> ranked(String endpointId, String dataCentre) {
        return dataCentres.entrySet().stream()
                .filter(vm -> dataCentre.isEmpty() || vm.getValue().equals(dataCentre))
                .map(Map.Entry::getKey)
                .sorted(RendezvousUtils.byScore(endpointId, vm -> vm))
                .limit(CANDIDATES)
                .toList();
    }

    private record Failure(long pauseMillis, long untilMillis) {}

    private record Path(String vm, String endpointId) {}
}
