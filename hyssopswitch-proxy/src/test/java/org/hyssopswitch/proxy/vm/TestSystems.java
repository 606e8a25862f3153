package org.hyssopswitch.proxy.vm;

import java.util.function.Supplier;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.session.EndpointHint;
import org.hyssopswitch.core.session.EndpointTable;
import org.hyssopswitch.standin.group.DatabaseGroupServer;

/** Systems that stand for the distribution of configurations and of endpoint statuses. */
final class TestSystems {

    private TestSystems() {}

    /** Applies whatever configuration the test has set last. */
    record GivenConfiguration(Supplier<Configuration> given) implements DecisionSystem {

        @Override
        public void tick(long nowMillis, Outbox out) {
            out.add(new Action.ApplyConfiguration(given.get()));
        }

        @Override
        public void handle(Event event, long nowMillis, Outbox out) {}
    }

    /** Knows the status of each endpoint at every tick and lets the homes ask for it too. */
    record KnownStatuses(DatabaseGroupServer group, EndpointTable table) implements DecisionSystem {

        @Override
        public void tick(long nowMillis, Outbox out) {
            group.endpoints().forEach(e -> {
                table.observe(new EndpointHint(group.status(e), 0, 0), nowMillis);
                out.add(new Action.CallEndpoint(
                        -1, e, new org.hyssopswitch.core.engine.ControlRequest.Status(), 1_000));
            });
        }

        @Override
        public void handle(Event event, long nowMillis, Outbox out) {}

        @Override
        public void configure(Configuration configuration, long nowMillis, Outbox out) {
            table.configure(configuration);
        }
    }
}
