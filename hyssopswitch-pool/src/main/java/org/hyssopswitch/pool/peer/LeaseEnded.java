package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;

/**
 * The lender refuses or ends a lease.
 *
 * @param leaseId identifier of the lease, chosen by the borrower
 * @param reason why
 */
public record LeaseEnded(long leaseId, LeaseEndReason reason) implements PeerMessage {}
