package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * A connection is lent until the borrower returns it.
 *
 * @param leaseId the borrower's number
 */
public record LeaseGrant(long leaseId) implements PeerMessage {}
