package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * Source of connections that other VMs lend.
 *
 * <p>Serves a fleet whose VMs outnumber an endpoint's connections. Without leases, each operation would open a
 * connection of its own, which costs the endpoint more than the operation.
 */
public interface LeaseSource {

    /** A source without lenders. */
    LeaseSource NONE = new LeaseSource() {
        @Override
        public LeaseRole role(Endpoint endpoint) {
            return LeaseRole.DIRECT;
        }

        @Override
        public Option<BorrowedLink> borrow(
                Endpoint endpoint, Account account, int priority, long maxWaitMillis, EndpointLink.Listener listener) {
            return Option.none();
        }

        @Override
        public boolean queryPosition(Endpoint endpoint, PositionListener listener) {
            return false;
        }
    };

    /**
     * Returns this VM's current role for an endpoint.
     *
     * @param endpoint the endpoint
     */
    LeaseRole role(Endpoint endpoint);

    /**
     * Requests a connection; the listener is notified once it is lent.
     *
     * @param endpoint the endpoint
     * @param account the client account that the connection serves
     * @param priority priority of the request; 0 is the highest
     * @param maxWaitMillis time after which the connection is no longer needed, milliseconds
     * @param listener notified on the decision thread of what the connection receives
     * @return the connection, or nothing if there is no lender
     */
    Option<BorrowedLink> borrow(
            Endpoint endpoint, Account account, int priority, long maxWaitMillis, EndpointLink.Listener listener);

    /**
     * Queries the lender whether an endpoint is the primary.
     *
     * @param endpoint the endpoint
     * @param listener notified of the answer, if there is one
     * @return whether there is a lender to query
     */
    boolean queryPosition(Endpoint endpoint, PositionListener listener);
}
