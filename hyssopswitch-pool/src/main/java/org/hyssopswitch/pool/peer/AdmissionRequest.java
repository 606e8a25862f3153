package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a VM that holds a client account's tokens to admit one operation.
 *
 * @param requestId identifier chosen by the sender
 * @param account name of the client account
 * @param waitMillis longest time that the operation may wait for a token, milliseconds
 */
public record AdmissionRequest(long requestId, String account, long waitMillis) implements PeerMessage {}
