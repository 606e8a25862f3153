package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Announces that the sender stops: it lends no connections and admits no operations of others any more.
 *
 * @param unavailableMillis time for which it is not to be asked, milliseconds; covers its shutdown and a restart
 */
public record VmStopping(long unavailableMillis) implements PeerMessage {}
