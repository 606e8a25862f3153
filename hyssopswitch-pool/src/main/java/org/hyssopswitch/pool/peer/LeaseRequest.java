package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * A VM asks another one to lend it a connection to an endpoint.
 *
 * @param leaseId number that the borrower chose
 * @param group the endpoint's group
 * @param endpoint the endpoint
 * @param account name of the client account that the connection serves
 * @param priority 0 for the most important
 * @param waitMillis milliseconds after which the borrower no longer needs it
 */
public record LeaseRequest(long leaseId, String group, String endpoint, String account, int priority, long waitMillis)
        implements PeerMessage {}
