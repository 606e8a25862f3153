package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * The borrower returns a connection or abandons its request.
 *
 * @param leaseId identifier of the lease, chosen by the borrower
 */
public record LeaseReturn(long leaseId) implements PeerMessage {}
