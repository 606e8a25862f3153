package org.hyssopswitch.peer;

import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Sends messages to other VMs over pooled, authenticated links. Messages to one VM arrive in order or, once the link
 * has failed, not at all.
 *
 * @see PeerListener
 */
public interface PeerTransport extends AutoCloseable {

    /**
     * Sends a message without blocking; a failure is reported to the listener.
     *
     * @param to the VM; a link to another incarnation is not used
     * @param message the message
     */
    void send(VmAddress to, PeerMessage message);

    /** Closes all links. */
    @Override
    void close();
}
