package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.message.PeerMessage;

/** Sends messages to entry VMs. */
@FunctionalInterface
interface ReplySender {

    /**
     * Sends a message.
     *
     * @param to the entry VM
     * @param message the message
     */
    void send(VmAddress to, PeerMessage message);
}
