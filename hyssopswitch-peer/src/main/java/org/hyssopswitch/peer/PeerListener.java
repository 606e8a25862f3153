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
     * A link to a VM was opened.
     *
     * @param to the VM
     */
    default void linkOpened(VmAddress to) {}

    /**
     * Whether messages to an earlier incarnation of a VM may be delivered to a later one. If so, a VM that is found to have
     * started again is sent the messages that wait for it, and its earlier address remains usable.
     */
    default boolean followsIncarnations() {
        return false;
    }

    /**
     * A VM has proved that it is a later incarnation; called only if incarnations are followed.
     *
     * @param newer its address
     */
    default void incarnationChanged(VmAddress newer) {}

    /**
     * A link broke or could not be opened; messages sent on it may be lost.
     *
     * @param to the VM
     */
    void linkFailed(VmAddress to);
}
