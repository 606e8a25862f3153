package org.hyssopswitch.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** The links that this VM dialled: at most one for each VM. */
final class OutboundLinks {

    private static final Logger LOG = LogManager.getLogger(OutboundLinks.class);

    private final LinkContext context;
    private final PeerListener listener;
    private final Consumer<OutboundLink> dialler;
    private final RandomGenerator random;
    private final LongSupplier nowMillis;
    private final Map<VmId, Slot> slots = new HashMap<>();

    OutboundLinks(
            LinkContext context,
            PeerListener listener,
            Consumer<OutboundLink> dialler,
            RandomGenerator random,
            LongSupplier nowMillis) {
        this.context = context;
        this.listener = listener;
        this.dialler = dialler;
        this.random = random;
        this.nowMillis = nowMillis;
    }

    /** Sends a frame on the VM's link, which is dialled when there is none and the backoff permits it. */
    void send(VmAddress to, byte[] frame) {
        OutboundLink dialled = null;
        OutboundLink link;
        synchronized (slots) {
            Slot slot = slotOf(to);
            if (slot.link == null && slot.backoff.mayDial(nowMillis.getAsLong()) && slot.to.equals(to)) {
                dialled = new OutboundLink(context, to, () -> opened(slot), (l, failure) -> failed(slot, l, failure));
                slot.link = dialled;
            }
            link = slot.to.equals(to) ? slot.link : null;
        }
        if (link == null) {
            context.metrics().dropped();
            listener.linkFailed(to);
            return;
        }
        link.send(frame);
        if (dialled != null) {
            dialler.accept(dialled);
        }
    }

    void close() {
        List<OutboundLink> open;
        synchronized (slots) {
            // A link that fails meanwhile leaves its slot, so the links are taken under the lock.
            open = slots.values().stream()
                    .map(s -> s.link)
                    .filter(Objects::nonNull)
                    .toList();
            slots.clear();
        }
        open.forEach(OutboundLink::close);
    }

    /** The slot of a VM; a newer incarnation takes the place of an older one. */
    private Slot slotOf(VmAddress to) {
        Slot slot = slots.get(to.vm());
        if (slot != null && (slot.to.equals(to) || slot.to.incarnation() > to.incarnation())) {
            return slot;
        }
        if (slot != null && slot.link != null) {
            slot.link.close();
        }
        Slot created = new Slot(to, random, context.limits());
        slots.put(to.vm(), created);
        return created;
    }

    private void opened(Slot slot) {
        synchronized (slots) {
            slot.backoff.opened();
        }
        LOG.info("event=peer_link_open vm={} incarnation={}", slot.to.vm(), slot.to.incarnation());
    }

    private void failed(Slot slot, OutboundLink link, PeerFailure failure) {
        synchronized (slots) {
            if (slot.link == link) {
                slot.link = null;
                slot.backoff.failed(nowMillis.getAsLong());
            }
        }
        LOG.warn("event=peer_link_failed vm={} reason=\"{}\"", slot.to.vm(), failure.describe());
        listener.linkFailed(link.to());
    }

    /** The link to one VM and the delay of its next dial. */
    private static final class Slot {

        private final VmAddress to;
        private final DialBackoff backoff;
        private OutboundLink link;

        Slot(VmAddress to, RandomGenerator random, PeerOptions.Limits limits) {
            this.to = to;
            this.backoff = new DialBackoff(limits.minBackoffMillis(), limits.maxBackoffMillis(), random);
        }
    }
}
