package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.statement.Reply;

/**
 * The reply to a command on a lent connection.
 *
 * @param leaseId identifier of the lease, chosen by the borrower
 * @param sequence sequence number of the command
 * @param reply the reply
 */
public record LeaseReply(long leaseId, int sequence, Reply reply) implements PeerMessage {}
