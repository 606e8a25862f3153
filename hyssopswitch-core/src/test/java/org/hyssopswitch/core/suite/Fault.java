package org.hyssopswitch.core.suite;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hyssopswitch.core.identity.EndpointId;

/** A fault that a run injects and later removes. */
@SuppressWarnings("ImmutableEnumChecker") // the lambdas hold no state
enum Fault {
    /**
     * The primary's data centre is isolated from the other data centres and the platform; its VMs still reach the
     * primary.
     */
    PRIMARY_CUT_OFF(c -> c.isolatedDataCentres.add(c.primary().dataCentre), c -> c.isolatedDataCentres.clear()),
    /** Replication to and from the primary is interrupted; all VMs still reach each other. */
    REPLICATION_CUT(c -> c.endpointsWithoutReplication.add(c.primary().id), c -> c.endpointsWithoutReplication.clear()),
    PRIMARY_CRASHES(c -> c.primary().crashed = true, c -> c.endpoints.values().forEach(e -> e.crashed = false)),
    REPLICAS_LAG(
            c -> c.endpoints.values().forEach(e -> e.replicationLagMillis = 2_500),
            c -> c.endpoints.values().forEach(e -> e.replicationLagMillis = 0)),
    /** One replica lags by less than the staleness that bounded reads accept. */
    REPLICA_LAGS(c -> setLag(c, "e-salvador", 700), c -> setLag(c, "e-salvador", 0)),
    /** The primary's home is killed while statements are in flight; killed VMs restart as new incarnations. */
    PROXY_DIES(Fault::killHome, c -> {}),
    /** All VMs of the primary's data centre are killed, so the primary is running but unreachable. */
    HOMES_DIE(Fault::killDataCentre, Fault::startMissingVms),
    STORE_DOWN(c -> c.platform.unavailable = true, c -> c.platform.unavailable = false),
    STORE_SLOW(c -> c.platform.delayMillis = 2_000, c -> c.platform.delayMillis = 3),
    STORE_ANSWERS_LOST(c -> c.platform.dropsUpdateAnswers = true, c -> c.platform.dropsUpdateAnswers = false),
    /**
     * The primary's data centre is isolated and the first promotion coordinator pauses right after sending its first
     * fence.
     */
    ORDERER_PAUSED(Fault::pauseCoordinator, c -> c.isolatedDataCentres.clear()),
    /** The primary answers statements and control calls 2 s late; replication is not delayed. */
    SLOW_ANSWERS(
            c -> c.primary().answerDelayMillis = 2_000,
            c -> c.endpoints.values().forEach(e -> e.answerDelayMillis = 0)),
    /** Messages between VMs are lost, duplicated and reordered. */
    LOSSY_LINKS(c -> setLinkFaults(c, 0.1, 0.1, 60), c -> setLinkFaults(c, 0, 0, 1)),
    /** The primary is declared as leaving. */
    PRIMARY_LEAVES(c -> c.declareEndpoints(Set.of(c.primary().id)), Fault::cancelLeaving);

    private final Consumer<SimulatedCluster> begin;
    private final Consumer<SimulatedCluster> end;

    Fault(Consumer<SimulatedCluster> begin, Consumer<SimulatedCluster> end) {
        this.begin = begin;
        this.end = end;
    }

    void begin(SimulatedCluster cluster) {
        cluster.history.add(new History.FaultStarted(cluster.now(), name()));
        begin.accept(cluster);
    }

    void end(SimulatedCluster cluster) {
        cluster.history.add(new History.FaultEnded(cluster.now(), name()));
        end.accept(cluster);
    }

    private static void setLag(SimulatedCluster c, String endpoint, long millis) {
        c.endpoints.get(new EndpointId(endpoint)).replicationLagMillis = millis;
    }

    private static void killHome(SimulatedCluster c) {
        c.homeOf(c.primary().id).ifPresent(home -> {
            c.kill(home);
            c.scheduleAfter(1_500, () -> Fault.startMissingVms(c));
        });
    }

    private static void killDataCentre(SimulatedCluster c) {
        List.copyOf(c.vms).stream()
                .filter(v -> v.address.dataCentre().value().equals(c.primary().dataCentre))
                .forEach(c::kill);
    }

    private static void startMissingVms(SimulatedCluster c) {
        for (String dc : SimulatedCluster.DATA_CENTRES) {
            for (String name : List.of(dc + "-1", dc + "-2")) {
                if (c.vms.stream().noneMatch(v -> v.address.vm().value().equals(name))) {
                    c.start(name, dc);
                }
            }
        }
    }

    private static void pauseCoordinator(SimulatedCluster c) {
        c.pauseNextCoordinator = true;
        c.isolatedDataCentres.add(c.primary().dataCentre);
    }

    private static void setLinkFaults(SimulatedCluster c, double drop, double duplicate, long jitterMillis) {
        c.dropRate = drop;
        c.duplicateRate = duplicate;
        c.linkJitterMillis = jitterMillis;
    }

    private static void cancelLeaving(SimulatedCluster c) {
        c.endpoints.keySet().forEach(e -> c.history.add(new History.EndpointDeclaredStaying(c.now(), e)));
        c.declareEndpoints(Set.of());
    }
}
