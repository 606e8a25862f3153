package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Closes a stream; an open transaction is rolled back by closing its endpoint connection.
 *
 * @param stream number of the stream, given by the entry VM
 * @param epoch incarnation of the entry VM
 */
public record CloseStream(long stream, long epoch) implements PeerMessage {}
