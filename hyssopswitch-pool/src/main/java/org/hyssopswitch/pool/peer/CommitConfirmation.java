package org.hyssopswitch.pool.peer;

import java.util.List;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Answers a {@link CommitConfirmationRequest}, and does so again when more commits are confirmed.
 *
 * @param group group with synchronous replication
 * @param confirmed log position up to which the commits of its term outlast every promotion
 * @param replicas the recorded replicas, one of which may be promoted
 * @param leadership number of the leadership of the sender
 */
public record CommitConfirmation(String group, LogPosition confirmed, List<CommitHolder> replicas, long leadership)
        implements PeerMessage {}
