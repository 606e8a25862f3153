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

/** One VM: its core, and whether its process runs. */
final class SuiteVm {

    final VmAddress address;
    final ClusterSystems systems;
    boolean dead;

    private final DecisionEngine engine;
    private final Feed feed = new Feed();
    private final Consumer<Action> performer;
    private final List<Runnable> backlog = new ArrayList<>();
    private boolean paused;

    SuiteVm(
            VmAddress address,
            List<VmAddress> seeds,
            RandomGenerator random,
            SuspicionPolicy policy,
            FailoverSettings settings,
            java.util.function.BiConsumer<SuiteVm, Action> performer) {
        this.address = address;
        this.systems = ClusterSystems.create(address, seeds, new CallIdSequence(), random, e -> 0, policy, settings);
        this.performer = a -> performer.accept(this, a);
        List<DecisionSystem> all = new ArrayList<>(systems.systems());
        all.add(0, feed);
        this.engine = new DecisionEngine(all);
    }

    void configure(Configuration configuration) {
        feed.next = configuration;
    }

    void tick(long nowMillis) {
        run(() -> engine.tick(nowMillis).forEach(performer), false);
    }

    void deliver(Event event, java.util.function.LongSupplier clock) {
        run(() -> engine.handle(event, clock.getAsLong()).forEach(performer), true);
    }

    /** Runs something of this VM's process: now, or when its pause ends, or never. */
    void run(Runnable work, boolean keep) {
        if (dead) {
            return;
        }
        if (!paused) {
            work.run();
        } else if (keep) {
            backlog.add(work);
        }
    }

    /** Runs a decision of the data plane and performs its actions. */
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
        List<Runnable> work = List.copyOf(backlog);
        backlog.clear();
        work.forEach(Runnable::run);
    }

    private static final class Feed implements DecisionSystem {
        private Configuration next = Configuration.EMPTY;

        @Override
        public void tick(long nowMillis, Outbox out) {
            out.add(new Action.ApplyConfiguration(next));
        }

        @Override
        public void handle(Event event, long nowMillis, Outbox out) {
            // configurations come from the test
        }
    }
}
