package org.hyssopswitch.pool.peer;

import java.util.Collection;
import org.hyssopswitch.core.message.PeerMessage;

/** Sends messages to other VMs; used on the decision thread. */
public interface PeerLinks {

    /**
     * Sends a message to one VM, or drops it when the VM is unknown or unreachable.
     *
     * @param vm name of the VM
     * @param message the message
     */
    void send(String vm, PeerMessage message);

    /**
     * Sends a message to some of the other VMs, at most a fixed number of them in a fleet of any size.
     *
     * @param message the message
     */
    void sendToSubset(PeerMessage message);

    /** Returns the names of the other VMs. */
    Collection<String> names();
}
