package org.hyssopswitch.pool.peer;

import io.vavr.control.Option;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Answers a {@link PositionQuery}.
 *
 * @param queryId identifier of the query
 * @param reachable whether the endpoint is reachable
 * @param position log position of the primary; nothing when the endpoint is not the primary or is unreachable
 */
public record PositionAnswer(long queryId, boolean reachable, Option<LogPosition> position) implements PeerMessage {}
