package org.hyssopswitch.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.ConfigurationSettings;
import org.hyssopswitch.core.configuration.ConfigurationSystem;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.CallIdSequence;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.failover.ClusterSystems;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.limit.LimitSettings;
import org.hyssopswitch.core.limit.LimitSystem;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/** The decision core of one VM with all its systems, and the processor time it has used. */
public final class FleetVm {

    private final VmAddress self;
    private final ClusterSystems cluster;
    private final ConfigurationSystem configurations;
    private final LimitSystem limits;
    private final DecisionEngine engine;
    private final Traffic traffic = new Traffic();
    private long nanos;

    FleetVm(VmAddress self, List<VmAddress> seeds, SplittableRandom random) {
        this.self = self;
        CallIdSequence numbers = new CallIdSequence();
        this.cluster = ClusterSystems.create(self, seeds, numbers, random.split(), e -> 0);
        this.configurations = new ConfigurationSystem(
                cluster.membership(),
                new TeamConfigurationCodec()::decode,
                ConfigurationSettings.DEFAULT,
                numbers,
                random.split());
        this.limits = new LimitSystem(cluster.membership(), LimitSettings.DEFAULT, numbers, random.split());
        List<DecisionSystem> systems = new ArrayList<>(cluster.systems());
        systems.add(configurations);
        systems.add(limits);
        this.engine = new DecisionEngine(systems);
    }

    /** The address. */
    public VmAddress self() {
        return self;
    }

    /** The systems of membership, sessions and failover. */
    public ClusterSystems cluster() {
        return cluster;
    }

    /** The limits. */
    public LimitSystem limits() {
        return limits;
    }

    /** The configuration in force. */
    public Configuration configuration() {
        return engine.configuration();
    }

    /** What this VM has sent and called since the counts were cleared. */
    public Traffic traffic() {
        return traffic;
    }

    /** Nanoseconds of processor time since the counts were cleared. */
    public long nanos() {
        return nanos;
    }

    void clear() {
        traffic.clear();
        nanos = 0;
    }

    void charge(long spentNanos) {
        nanos += spentNanos;
    }

    List<Action> tick(long nowMillis) {
        long begin = System.nanoTime();
        List<Action> actions = engine.tick(nowMillis);
        nanos += System.nanoTime() - begin;
        return actions;
    }

    List<Action> handle(Event event, long nowMillis) {
        long begin = System.nanoTime();
        List<Action> actions = engine.handle(event, nowMillis);
        nanos += System.nanoTime() - begin;
        return actions;
    }
}
