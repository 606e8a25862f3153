package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * The lender lends a connection until the borrower returns it.
 *
 * @param leaseId identifier of the lease, chosen by the borrower
 */
public record LeaseGrant(long leaseId) implements PeerMessage {}
