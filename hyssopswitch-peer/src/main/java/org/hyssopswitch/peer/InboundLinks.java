package org.hyssopswitch.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.identity.VmId;

/** The links that other VMs dialled: one for each VM, of its highest incarnation. */
final class InboundLinks {

    private static final Logger LOG = LogManager.getLogger(InboundLinks.class);

    private final Map<VmId, InboundLink> open = new HashMap<>();
    private final AtomicInteger strangers = new AtomicInteger();

    /** Counts a connection that begins its handshake. */
    int strangerConnected() {
        return strangers.incrementAndGet();
    }

    /** Admits an authenticated link in place of an earlier one, unless that one is of a newer incarnation. */
    boolean admit(InboundLink link) {
        InboundLink earlier;
        synchronized (open) {
            earlier = open.get(link.from().vm());
            if (earlier != null && earlier.from().incarnation() > link.from().incarnation()) {
                return false;
            }
            if (!link.open()) {
                return false;
            }
            open.put(link.from().vm(), link);
        }
        strangers.decrementAndGet();
        if (earlier != null) {
            earlier.fail(new PeerFailure.LinkClosed("a later link replaced it"));
        }
        return true;
    }

    /** Forgets a link that has ended. */
    void closed(InboundLink link, boolean wasOpen, PeerFailure failure, String address) {
        if (!wasOpen) {
            strangers.decrementAndGet();
            LOG.warn("event=peer_link_refused address={} reason=\"{}\"", address, failure.describe());
            return;
        }
        synchronized (open) {
            open.remove(link.from().vm(), link);
        }
        LOG.info("event=peer_link_closed vm={} reason=\"{}\"", link.from().vm(), failure.describe());
    }
}
