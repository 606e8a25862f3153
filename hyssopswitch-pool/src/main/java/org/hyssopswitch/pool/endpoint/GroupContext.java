package org.hyssopswitch.pool.endpoint;

import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * What all database groups of a VM use.
 *
 * @param dataCentre data centre of this VM
 * @param connector opens connections
 * @param leases connections that other VMs lend
 * @param decoder reads answers to status queries
 * @param shortageListener told group and endpoint when an endpoint refuses what the VM's guaranteed share includes
 * @param clock milliseconds of the monotonic clock
 * @param wallClock milliseconds since the epoch, which may jump
 */
public record GroupContext(
        String dataCentre,
        EndpointConnector connector,
        LeaseSource leases,
        StatusDecoder decoder,
        BiConsumer<String, String> shortageListener,
        LongSupplier clock,
        LongSupplier wallClock) {}
