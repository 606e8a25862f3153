package org.hyssopswitch.peer;

import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** Takes what arrives from other VMs; called on I/O threads, in order for each sender. */
public interface PeerListener {

    /**
     * A message arrived.
     *
     * @param from the authenticated sender
     * @param message the message
     */
    void messageReceived(VmAddress from, PeerMessage message);

    /**
     * A link broke or could not be opened; messages sent on it may be lost.
     *
     * @param to the VM
     */
    void linkFailed(VmAddress to);
}
