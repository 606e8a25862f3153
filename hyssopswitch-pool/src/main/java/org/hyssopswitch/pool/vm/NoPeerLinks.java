package org.hyssopswitch.pool.vm;

import java.util.Collection;
import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.peer.PeerLinks;

/** Stands for the other VMs until the store has told who they are. */
final class NoPeerLinks implements PeerLinks {

    @Override
    public void send(String vm, PeerMessage message) {
        // No VM is known yet, so there is none to tell.
    }

    @Override
    public void sendToSubset(PeerMessage message) {
        // No VM is known yet, so there is none to tell.
    }

    @Override
    public Collection<String> names() {
        return List.of();
    }
}
