package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a VM to lend a connection to an endpoint.
 *
 * @param leaseId identifier of the lease, chosen by the borrower
 * @param group group of the endpoint
 * @param endpoint the endpoint
 * @param account name of the client account that the connection serves
 * @param priority 0 for the most important
 * @param waitMillis milliseconds after which the borrower no longer needs the connection
 */
public record LeaseRequest(long leaseId, String group, String endpoint, String account, int priority, long waitMillis)
        implements PeerMessage {}
