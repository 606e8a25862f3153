package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Asks the promotion leader whether a commit outlasts every promotion. It is repeated until the leader has confirmed it.
 *
 * @param group group with synchronous replication
 * @param commit log position of the latest commit that is to be confirmed
 * @param leadership number of the latest leadership that the sender knows; -1 if it knows none
 */
public record CommitConfirmationRequest(String group, LogPosition commit, long leadership) implements PeerMessage {}
