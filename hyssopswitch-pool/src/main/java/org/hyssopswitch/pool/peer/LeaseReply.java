package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.statement.Reply;

/**
 * The answer to a command on a lent connection.
 *
 * @param lease the borrower's number
 * @param number the command's number
 * @param reply the answer
 */
public record LeaseReply(long lease, int number, Reply reply) implements PeerMessage {}
