package org.hyssopswitch.app.baseline;

import io.vavr.control.Option;
import org.hyssopswitch.app.fleet.CorePolicy;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.limit.EvenSplitRateLimiter;
import org.hyssopswitch.core.limit.RateLimiter;
import org.hyssopswitch.proxy.home.QueueFactory;
import org.hyssopswitch.proxy.vm.VmCore;

/** Reads to the endpoints in turn, each rate split evenly over the VMs, statements served in order of arrival. */
public final class BaselinePolicy implements CorePolicy {

    private static final int QUEUE_CAPACITY = 1_024;

    @Override
    public VmCore apply(VmCore core, int vms) {
        return new VmCore(
                core.engine(),
                core.resolver(),
                new RoundRobinSelector(core.endpoints()),
                core.confirmer(),
                core.floors(),
                new ConfiguredEvenSplit(core.engine(), vms),
                core.endpoints(),
                core.retries(),
                new FifoQueues(),
                core.freshness(),
                core.ready(),
                core.status(),
                core.departure());
    }

    /** Applies the engine's configuration to the split before it is asked. */
    private static final class ConfiguredEvenSplit implements RateLimiter {

        private final DecisionEngine engine;
        private final EvenSplitRateLimiter split;
        private long version;

        ConfiguredEvenSplit(DecisionEngine engine, int vms) {
            this.engine = engine;
            this.split = new EvenSplitRateLimiter(vms);
        }

        @Override
        public Option<Refusal> tryAcquire(ClientAccountId account, long nowMillis) {
            if (engine.configuration().version() > version) {
                version = engine.configuration().version();
                split.configure(engine.configuration(), nowMillis, action -> {});
            }
            return split.tryAcquire(account, nowMillis);
        }
    }

    private static final class FifoQueues implements QueueFactory {

        @Override
        public <T> StatementQueue<T> create() {
            return new FifoQueue<>(QUEUE_CAPACITY);
        }
    }
}
