package org.hyssopswitch.pool.peer;

import org.hyssopswitch.core.message.PeerMessage;

/** Receives the events of the links to other VMs, on the decision thread. */
public interface PeerLinkListener {

    /**
     * A message arrived.
     *
     * @param vm name of the sender
     * @param message the message
     */
    void received(String vm, PeerMessage message);

    /**
     * A link to a VM was opened.
     *
     * @param vm name of the VM
     */
    void linkOpened(String vm);

    /**
     * A link broke or could not be opened; messages to the VM may be lost.
     *
     * @param vm name of the VM
     */
    void linkFailed(String vm);
}
