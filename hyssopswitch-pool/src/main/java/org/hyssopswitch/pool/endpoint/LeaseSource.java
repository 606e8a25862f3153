package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Endpoint;

/**
 * Connections that other VMs lend.
 *
 * <p>Answers a fleet whose VMs outnumber an endpoint's connections: without it, each operation opens a connection of
 * its own, which costs the endpoint more than the operation.
 */
public interface LeaseSource {

    /** Lends nothing. */
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
     * What this VM does at the moment.
     *
     * @param endpoint the endpoint
     */
    LeaseRole role(Endpoint endpoint);

    /**
     * Asks for a connection; the listener is told once it is lent.
     *
     * @param endpoint the endpoint
     * @param account the client account that the connection serves
     * @param priority 0 for the most important
     * @param maxWaitMillis milliseconds after which it is no longer needed
     * @param listener told, on the decision thread, what arrives
     * @return nothing when no other VM is to be asked
     */
    Option<BorrowedLink> borrow(
            Endpoint endpoint, Account account, int priority, long maxWaitMillis, EndpointLink.Listener listener);

    /**
     * Asks the lender whether an endpoint is the primary.
     *
     * @param endpoint the endpoint
     * @param listener told the answer if one arrives
     * @return false when no other VM is to be asked
     */
    boolean queryPosition(Endpoint endpoint, PositionListener listener);
}
