package org.hyssopswitch.pool.vm;

import java.util.Collection;
import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.peer.PeerLinks;

/** Links of a VM that does not know the other VMs yet; drops all messages. */
final class NoPeerLinks implements PeerLinks {

    @Override
    public void send(String vm, PeerMessage message) {
        // No other VM is known yet.
    }

    @Override
    public void sendToSubset(PeerMessage message) {
        // No other VM is known yet.
    }

    @Override
    public Collection<String> names() {
        return List.of();
    }
}
