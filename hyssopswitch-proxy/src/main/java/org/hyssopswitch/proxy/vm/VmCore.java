package org.hyssopswitch.proxy.vm;

import io.vavr.control.Option;
import java.util.Map;
import java.util.function.Supplier;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failover.CommitConfirmer;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.limit.RateLimiter;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.retry.RetryPolicy;
import org.hyssopswitch.core.session.EndpointSelector;
import org.hyssopswitch.core.session.EndpointTable;
import org.hyssopswitch.proxy.home.QueueFactory;

/**
 * The decisions of one VM.
 *
 * @param engine runs the decision systems
 * @param resolver finds the homes of endpoints
 * @param selector chooses endpoints
 * @param confirmer confirms commits
 * @param floors finds the floors of sessions without a token
 * @param limiter admits statements
 * @param endpoints statuses of endpoints
 * @param retries decides on retries
 * @param queues creates statement queues
 * @param freshness the refusal while the configuration is too old for keys to be trusted
 * @param ready whether the configuration is known well enough to serve callers
 * @param status reports configuration, membership and limits as plain values
 * @param departure what to do when the VM begins to shut down
 */
public record VmCore(
        DecisionEngine engine,
        HomeResolver resolver,
        EndpointSelector selector,
        CommitConfirmer confirmer,
        Floors floors,
        RateLimiter limiter,
        EndpointTable endpoints,
        RetryPolicy retries,
        QueueFactory queues,
        Supplier<Option<Refusal>> freshness,
        Supplier<Boolean> ready,
        Supplier<Map<String, Object>> status,
        Departure departure) {

    /** Finds the floors of sessions without a token. */
    @FunctionalInterface
    public interface Floors {

        /**
         * Requests a floor; the answer is a {@code ResolveFloor} action.
         *
         * @param ticket number that identifies the answer
         * @param database the database of the session
         * @param deadlineMillis time of the monotonic clock at which the request is given up
         * @param nowMillis milliseconds of the monotonic clock
         * @param out takes the actions to perform
         */
        void request(long ticket, DatabaseId database, long deadlineMillis, long nowMillis, Outbox out);
    }

    /** Begins and watches the departure of the VM. */
    public interface Departure {

        /** Announces that the VM leaves and hands back what it holds. */
        void begin();

        /** Tells whether everything has been handed back. */
        boolean done();
    }
}
