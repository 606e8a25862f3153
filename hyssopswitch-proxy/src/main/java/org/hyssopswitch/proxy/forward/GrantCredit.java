package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Flow control: reports that bytes of an answer have been passed to the caller, so that the home may send more.
 *
 * @param stream number of the stream, given by the entry VM
 * @param epoch incarnation of the entry VM
 * @param bytes the number of bytes
 */
public record GrantCredit(long stream, long epoch, int bytes) implements PeerMessage {}
