package org.hyssopswitch.proxy.entry;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.limit.RateLimiter;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.placement.HomeResolver;
import org.hyssopswitch.core.retry.RetryPolicy;
import org.hyssopswitch.core.session.EndpointSelector;

/**
 * What an entry needs of the rest of its VM.
 *
 * @param configuration the configuration in force
 * @param freshness the refusal while the configuration is too old for keys to be trusted
 * @param limiter admits statements
 * @param selector chooses endpoints
 * @param floors finds the floors of sessions without a token
 * @param resolver finds the homes of endpoints
 * @param retries decides on retries
 * @param sender sends messages to homes
 * @param metrics registry of the counters
 */
public record EntryCollaborators(
        Supplier<Configuration> configuration,
        Supplier<Option<Refusal>> freshness,
        RateLimiter limiter,
        EndpointSelector selector,
        FloorSource floors,
        HomeResolver resolver,
        RetryPolicy retries,
        BiConsumer<VmAddress, PeerMessage> sender,
        MetricRegistry metrics) {}
