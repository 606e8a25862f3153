package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Tells the home that bytes of an answer have been passed to the caller, so that it may send more.
 *
 * @param stream the stream
 * @param epoch incarnation of the entry VM
 * @param bytes the number of bytes
 */
public record GrantCredit(long stream, long epoch, int bytes) implements PeerMessage {}
