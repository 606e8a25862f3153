package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.statement.Reply;

/**
 * The answer to a command on a lent connection.
 *
 * @param leaseId the borrower's number
 * @param sequence the command's number
 * @param reply the answer
 */
public record LeaseReply(long leaseId, int sequence, Reply reply) implements PeerMessage {}
