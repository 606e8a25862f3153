package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.endpoint.LeaseEndReason;

/**
 * The lender does not lend a connection, or no longer.
 *
 * @param leaseId the borrower's number
 * @param reason why
 */
public record LeaseEnded(long leaseId, LeaseEndReason reason) implements PeerMessage {}
