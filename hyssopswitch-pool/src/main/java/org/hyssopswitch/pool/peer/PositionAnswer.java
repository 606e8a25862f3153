package org.hyssopswitch.pool.peer;

import io.vavr.control.Option;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Answers a question for a primary's position.
 *
 * @param queryId the sender's number
 * @param reachable whether the endpoint can be reached
 * @param position the position; nothing when the endpoint is not the primary or cannot be reached
 */
public record PositionAnswer(long queryId, boolean reachable, Option<LogPosition> position) implements PeerMessage {}
