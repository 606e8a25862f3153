package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * The borrower returns a connection or gives up its request.
 *
 * @param leaseId the borrower's number
 */
public record LeaseReturn(long leaseId) implements PeerMessage {}
