package org.hyssopswitch.pool.vm;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.pool.endpoint.EndpointConnector;
import org.hyssopswitch.pool.endpoint.StatusDecoder;
import org.hyssopswitch.pool.failover.FailoverTables;
import org.hyssopswitch.pool.failover.PromotionAuthority;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.proxy.net.DecisionLoop;

/**
 * External dependencies of a VM.
 *
 * @param name name of the VM
 * @param self entry of the VM in the store
 * @param loop the decision thread
 * @param timeOfDay milliseconds since the epoch, which may jump
 * @param random source of jitter
 * @param eras eras of the store, observed by the tables below
 * @param connector opens connections to endpoints
 * @param catalogs the operator's configuration
 * @param endpoints the listed endpoints
 * @param vms the VMs of the fleet
 * @param secrets the secret that the VMs of the fleet share
 * @param failoverTables what the promotion leader keeps in the store
 * @param promotionAuthority orders promotions
 * @param statusDecoder decodes answers to status queries
 */
public record VmDependencies(
        String name,
        VmEntry self,
        DecisionLoop loop,
        LongSupplier timeOfDay,
        RandomGenerator random,
        StoreEraTracker eras,
        EndpointConnector connector,
        ObjectTable<Catalog> catalogs,
        ObjectTable<Endpoint> endpoints,
        ObjectTable<VmEntry> vms,
        ObjectTable<FleetSecret> secrets,
        FailoverTables failoverTables,
        PromotionAuthority promotionAuthority,
        StatusDecoder statusDecoder) {}
