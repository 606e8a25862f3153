package org.hyssopswitch.core.placement;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;

/**
 * Ranks the VMs of an endpoint's cell by rendezvous hashing, so that the failure of a VM moves only its own endpoints.
 *
 * <p>Suspected VMs rank behind all others. Rankings are cached until the membership view changes.
 */
public final class RendezvousHomeResolver implements HomeResolver {

    private static final int HOMES_PER_ENDPOINT = 2;
    private static final int MAX_CACHED_ENDPOINTS = 4_096;

    private final MembershipView view;
    private final Map<EndpointId, List<VmAddress>> cache = new LinkedHashMap<>();
    private long cachedVersion = -1;

    /**
     * Creates a resolver.
     *
     * @param view the VMs to rank
     */
    public RendezvousHomeResolver(MembershipView view) {
        this.view = view;
    }

    @Override
    public List<VmAddress> homes(EndpointDeclaration endpoint) {
        List<VmAddress> candidates = view.candidates(endpoint.cell());
        if (cachedVersion != view.version() || cache.size() >= MAX_CACHED_ENDPOINTS) {
            cache.clear();
            cachedVersion = view.version();
        }
        return cache.computeIfAbsent(endpoint.id(), id -> rank(candidates, id));
    }

    private List<VmAddress> rank(List<VmAddress> candidates, EndpointId endpoint) {
        return candidates.stream()
                .sorted(Comparator.comparing(view::isSuspected)
                        .thenComparing(RendezvousUtils.byScore(endpoint.value(), a -> a.vm().value())))
                .limit(HOMES_PER_ENDPOINT)
                .toList();
    }
}
