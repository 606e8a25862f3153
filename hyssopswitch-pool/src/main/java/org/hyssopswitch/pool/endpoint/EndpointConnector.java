package org.hyssopswitch.pool.endpoint;

import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;

/** Opens connections to endpoints. */
@FunctionalInterface
public interface EndpointConnector {

    /**
     * Starts opening a connection, which fails unless the endpoint is the expected process of the expected group.
     *
     * @param endpoint the endpoint
     * @param account the client account that the connection serves
     * @param listener notified on the decision thread of what the connection receives
     */
    EndpointLink open(Endpoint endpoint, Account account, EndpointLink.Listener listener);
}
