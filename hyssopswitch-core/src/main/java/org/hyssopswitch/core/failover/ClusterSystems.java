package org.hyssopswitch.core.failover;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.CallIdSequence;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipSettings;
import org.hyssopswitch.core.membership.MembershipSystem;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.placement.RendezvousHomeResolver;
import org.hyssopswitch.core.session.DefaultEndpointSelector;
import org.hyssopswitch.core.session.EndpointSelector;
import org.hyssopswitch.core.session.EndpointTable;
import org.hyssopswitch.core.session.HintSystem;
import org.hyssopswitch.core.session.SelectionTimeouts;

/**
 * The systems of a VM that deal with membership, placement, sessions and failover, wired together.
 *
 * @param membership the VMs
 * @param homes the homes of endpoints
 * @param endpoints the known endpoints
 * @param selector chooses endpoints for statements
 * @param confirmer confirms commits
 * @param floors finds the floors of sessions without a token
 * @param promotion orders promotions
 * @param systems the systems in the order in which the engine runs them
 */
public record ClusterSystems(
        MembershipSystem membership,
        HomeResolver homes,
        EndpointTable endpoints,
        EndpointSelector selector,
        CommitConfirmer confirmer,
        SessionFloorSystem floors,
        PromotionSystem promotion,
        List<DecisionSystem> systems) {

    /** Copies the list. */
    public ClusterSystems {
        systems = List.copyOf(systems);
    }

    /**
     * Creates the systems with their default times.
     *
     * @param self this VM
     * @param seeds addresses of other VMs known from settings; may be empty or outdated
     * @param numbers numbers the calls of this VM
     * @param random source of randomness
     * @param load statements that run or wait at this VM for an endpoint
     */
    public static ClusterSystems create(
            VmAddress self,
            List<VmAddress> seeds,
            CallIdSequence numbers,
            RandomGenerator random,
            ToIntFunction<EndpointId> load) {
        FailoverSettings settings = FailoverSettings.DEFAULT;
        return create(self, seeds, numbers, random, load, new DefaultSuspicionPolicy(settings), settings);
    }

    /**
     * Creates the systems.
     *
     * @param self this VM
     * @param seeds addresses of other VMs known from settings; may be empty or outdated
     * @param numbers numbers the calls of this VM
     * @param random source of randomness
     * @param load statements that run or wait at this VM for an endpoint
     * @param policy decides whether a promotion is due
     * @param settings times of failure detection and promotion
     */
    public static ClusterSystems create(
            VmAddress self,
            List<VmAddress> seeds,
            CallIdSequence numbers,
            RandomGenerator random,
            ToIntFunction<EndpointId> load,
            SuspicionPolicy policy,
            FailoverSettings settings) {
        MembershipSystem view = new MembershipSystem(self, seeds, MembershipSettings.DEFAULT, random);
        HomeResolver homes = new RendezvousHomeResolver(view);
        EndpointTable endpoints = new EndpointTable();
        GroupTable groups = new GroupTable();
        ControlRouter router = new ControlRouter(self, homes, endpoints, numbers);
        HintSystem hints = new HintSystem(self, homes, endpoints, HintSystem.DEFAULT_HINTS_PER_SECOND, random);
        GroupMonitorSystem monitor =
                new GroupMonitorSystem(view, homes, endpoints, groups, router, settings, random, load, hints::isInUse);
        PromotionSystem promotion =
                new PromotionSystem(self, monitor, groups, router, policy, settings, numbers, random);
        MajorityCommitConfirmer confirmer = new MajorityCommitConfirmer(router, endpoints);
        SessionFloorSystem floors = new SessionFloorSystem(self, homes, endpoints, router, confirmer, numbers);
        EndpointSelector selector =
                new DefaultEndpointSelector(endpoints, self.dataCentre(), SelectionTimeouts.DEFAULT, random);
        List<DecisionSystem> systems = List.of(view, router, monitor, promotion, confirmer, floors, hints);
        return new ClusterSystems(view, homes, endpoints, selector, confirmer, floors, promotion, systems);
    }
}
