package org.hyssopswitch.pool.endpoint;

import com.codahale.metrics.MetricRegistry;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * The dependencies that all database groups of a VM share.
 *
 * @param dataCentre data centre of this VM
 * @param connector opens connections
 * @param leases source of connections that other VMs lend
 * @param decoder decodes the replies to status queries
 * @param shortageListener receives group and endpoint if an endpoint refuses a connection of the VM's guaranteed share
 * @param metrics registry of the VM's metrics
 * @param clock monotonic clock, milliseconds
 * @param wallClock wall clock, milliseconds since the epoch; it may be stepped
 */
public record GroupContext(
        String dataCentre,
        EndpointConnector connector,
        LeaseSource leases,
        StatusDecoder decoder,
        BiConsumer<String, String> shortageListener,
        MetricRegistry metrics,
        LongSupplier clock,
        LongSupplier wallClock) {}
