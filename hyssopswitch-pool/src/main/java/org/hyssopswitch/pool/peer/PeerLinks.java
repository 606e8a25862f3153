package org.hyssopswitch.pool.peer;

import java.util.Collection;
import org.hyssopswitch.core.message.PeerMessage;

/** Sends messages to other VMs; used on the decision thread. */
public interface PeerLinks {

    /**
     * Sends a message to one VM, or drops it when the VM is not known or not reachable.
     *
     * @param vm name of the VM
     * @param message the message
     */
    void send(String vm, PeerMessage message);

    /**
     * Sends a message to some other VMs, at most a fixed number of them whatever the size of the fleet.
     *
     * @param message the message
     */
    void sendToSubset(PeerMessage message);

    /** Names of the other VMs. */
    Collection<String> names();
}
