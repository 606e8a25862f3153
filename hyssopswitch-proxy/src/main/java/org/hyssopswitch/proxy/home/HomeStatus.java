package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointStatus;

/**
 * Status of one endpoint as seen by its home.
 *
 * @param endpoint the endpoint
 * @param status last status that the endpoint reported
 * @param streams streams that run, wait or hold a transaction open
 * @param queued statements in the queue
 * @param connections open statement connections
 */
public record HomeStatus(
        EndpointId endpoint, Option<EndpointStatus> status, int streams, int queued, int connections) {}
