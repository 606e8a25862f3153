package org.hyssopswitch.core.suite;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.CallIdSequence;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failover.ClusterSystems;
import org.hyssopswitch.core.failover.FailoverSettings;
import org.hyssopswitch.core.failover.SuspicionPolicy;
import org.hyssopswitch.core.identity.VmAddress;

/** One VM: its decision systems and the state of its process (running, paused or killed). */
final class SimulatedVm {

    final VmAddress address;
    final ClusterSystems systems;
    boolean killed;

    private final DecisionEngine engine;
    private final ConfigurationSource configurationSource = new ConfigurationSource();
    private final Consumer<Action> performer;
    private final List<Runnable> backlog = new ArrayList<>();
    private boolean paused;

    SimulatedVm(
            VmAddress address,
            List<VmAddress> seeds,
            RandomGenerator random,
            SuspicionPolicy policy,
            FailoverSettings settings,
            java.util.function.BiConsumer<SimulatedVm, Action> performer) {
        this.address = address;
        this.systems = ClusterSystems.create(address, seeds, new CallIdSequence(), random, e -> 0, policy, settings);
        this.performer = a -> performer.accept(this, a);
        List<DecisionSystem> all = new ArrayList<>(systems.systems());
        all.add(0, configurationSource);
        this.engine = new DecisionEngine(all);
    }

    void configure(Configuration configuration) {
        configurationSource.configuration = configuration;
    }

    void tick(long nowMillis) {
        run(() -> engine.tick(nowMillis).forEach(performer), false);
    }

    void deliver(Event event, java.util.function.LongSupplier clock) {
        run(() -> engine.handle(event, clock.getAsLong()).forEach(performer), true);
    }

    /** Runs work in this VM's process. While paused, queues or discards it; discards it once killed. */
    void run(Runnable work, boolean queueWhilePaused) {
        if (killed) {
            return;
        }
        if (!paused) {
            work.run();
        } else if (queueWhilePaused) {
            backlog.add(work);
        }
    }

    /** Makes a decision for the workload and performs the resulting actions. */
    void decide(Consumer<Outbox> decision) {
        List<Action> actions = new ArrayList<>();
        decision.accept(actions::add);
        actions.forEach(performer);
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> pending = List.copyOf(backlog);
        backlog.clear();
        pending.forEach(Runnable::run);
    }

    private static final class ConfigurationSource implements DecisionSystem {
        private Configuration configuration = Configuration.EMPTY;

        @Override
        public void tick(long nowMillis, Outbox out) {
            out.add(new Action.ApplyConfiguration(configuration));
        }

        @Override
        public void handle(Event event, long nowMillis, Outbox out) {
            // configurations come from the simulation, not from events
        }
    }
}
