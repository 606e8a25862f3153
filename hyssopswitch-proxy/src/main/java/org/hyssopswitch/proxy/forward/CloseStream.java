package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Gives up a stream: an open transaction is rolled back by closing its endpoint connection.
 *
 * @param stream the stream
 * @param epoch incarnation of the entry VM
 */
public record CloseStream(long stream, long epoch) implements PeerMessage {}
