package org.hyssopswitch.proxy.vm;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.ConfigurationSettings;
import org.hyssopswitch.core.configuration.ConfigurationSystem;
import org.hyssopswitch.core.drain.DrainPhase;
import org.hyssopswitch.core.drain.DrainSystem;
import org.hyssopswitch.core.engine.CallNumbers;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.failover.ClusterSystems;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.fairness.DeficitRoundRobinQueue;
import org.hyssopswitch.core.fairness.QueueLimits;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.key.StalenessPolicy;
import org.hyssopswitch.core.limit.LimitSettings;
import org.hyssopswitch.core.limit.LimitSystem;
import org.hyssopswitch.core.retry.Backoff;
import org.hyssopswitch.core.retry.RetryBudget;
import org.hyssopswitch.core.retry.RetryPolicy;
import org.hyssopswitch.proxy.home.QueueFactory;
import org.hyssopswitch.settings.declaration.TeamConfigurationCodec;

/** Creates the decisions of a VM that works with its peers and the platform. */
public final class DefaultVmCoreFactory implements VmCoreFactory {

    private static final long MIN_RETRY_DELAY_MILLIS = 10;
    private static final long MAX_RETRY_DELAY_MILLIS = 500;

    private final StalenessPolicy staleness;
    private final QueueLimits queues;
    private final LongSupplier clock;

    /**
     * Creates a factory.
     *
     * @param staleness whether keys are trusted under an old configuration
     * @param queues bounds of statement queues
     * @param clock milliseconds of the monotonic clock
     */
    public DefaultVmCoreFactory(StalenessPolicy staleness, QueueLimits queues, LongSupplier clock) {
        this.staleness = staleness;
        this.queues = queues;
        this.clock = clock;
    }

    @Override
    public VmCore create(VmAddress self, ToIntFunction<EndpointId> load) {
        RandomGenerator random = new SplittableRandom();
        CallNumbers numbers = new CallNumbers();
        ClusterSystems cluster = ClusterSystems.create(self, List.of(), numbers, random, load);
        TeamConfigurationCodec codec = new TeamConfigurationCodec();
        ConfigurationSystem configuration = new ConfigurationSystem(
                cluster.membership(), codec::decode, ConfigurationSettings.DEFAULT, numbers, random);
        LimitSystem limits = new LimitSystem(cluster.membership(), LimitSettings.DEFAULT, numbers, random);
        DrainSystem drain = new DrainSystem(cluster.membership()::leave, limits);
        List<DecisionSystem> systems = new ArrayList<>(cluster.systems());
        systems.addAll(List.of(configuration, limits, drain));
        DecisionEngine engine = new DecisionEngine(systems);
        Backoff backoff = new Backoff(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS, random);
        return new VmCore(
                engine,
                cluster.homes(),
                cluster.selector(),
                cluster.confirmer(),
                cluster.floors()::request,
                limits,
                cluster.endpoints(),
                new RetryPolicy(RetryPolicy.DEFAULT_MAX_ATTEMPTS, new RetryBudget(), backoff),
                new FairQueues(engine, queues),
                () -> freshness(configuration),
                configuration::isReady,
                () -> status(self, cluster, configuration, limits),
                new Departure(drain));
    }

    private Option<Refusal> freshness(ConfigurationSystem configuration) {
        long age = configuration.ageMillis(clock.getAsLong());
        return configuration.isReady() ? staleness.check(age) : Option.some(new Refusal.ConfigurationStale(age));
    }

    private Map<String, Object> status(
            VmAddress self, ClusterSystems cluster, ConfigurationSystem configuration, LimitSystem limits) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("configurationVersion", configuration.version());
        report.put("configurationHighestKnownVersion", configuration.highestKnownVersion());
        report.put("configurationAgeMillis", configuration.ageMillis(clock.getAsLong()));
        report.put("keysTrustedForMillis", staleness.maxAgeMillis());
        Map<String, Object> rejected = new LinkedHashMap<>();
        configuration.rejectedTeams().forEach((team, failure) -> rejected.put(team.value(), failure.describe()));
        report.put("rejectedTeams", rejected);
        report.put(
                "members",
                cluster.membership().live(self.cell()).stream()
                        .map(m -> m.vm() + "/" + m.incarnation())
                        .toList());
        report.put("limitSlotsOwned", limits.ownedSlots());
        report.put("limitAccountsLent", limits.lentAccounts());
        report.put("limitAccountsHeld", limits.heldAccounts());
        return report;
    }

    /** Queues weighted by the declared rates. */
    private record FairQueues(DecisionEngine engine, QueueLimits limits) implements QueueFactory {

        @Override
        public <T> StatementQueue<T> create() {
            return new DeficitRoundRobinQueue<>(this::rate, limits);
        }

        private double rate(ClientAccountId account) {
            return engine.configuration()
                    .account(account)
                    .map(AccountDeclaration::rate)
                    .map(r -> r.perSecond())
                    .orElse(1.0);
        }
    }

    private record Departure(DrainSystem drain) implements VmCore.Departure {

        @Override
        public void begin() {
            drain.requestDrain();
        }

        @Override
        public boolean done() {
            return drain.phase() == DrainPhase.DONE;
        }
    }
}
