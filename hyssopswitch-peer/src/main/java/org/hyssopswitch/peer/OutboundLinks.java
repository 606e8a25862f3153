package org.hyssopswitch.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** The links that this VM dialled: one for each VM, and while it is silent a second one that may replace it. */
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
            boolean reachable = slot.to.equals(to) || listener.followsIncarnations();
            if (reachable) {
                dialled = dialIfNeeded(slot);
            }
            link = reachable ? slot.link : null;
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

    /** Returns a new link if the slot has none, or only a silent one, and the backoff permits it; otherwise null. */
    private OutboundLink dialIfNeeded(Slot slot) {
        boolean silent = slot.link != null && slot.link.isSilent();
        if (slot.replacement != null && !silent) {
            slot.replacement.close();
            slot.replacement = null;
        }
        boolean needed = slot.link == null || (silent && slot.replacement == null);
        if (!needed || !slot.backoff.mayDial(nowMillis.getAsLong())) {
            return null;
        }
        OutboundLink dialled = new OutboundLink(
                context,
                slot.to,
                nowMillis,
                link -> opened(slot, link),
                (link, failure) -> failed(slot, link, failure));
        if (silent) {
            slot.replacement = dialled;
        } else {
            slot.link = dialled;
        }
        return dialled;
    }

    void close() {
        List<OutboundLink> open;
        synchronized (slots) {
            // A link that fails meanwhile leaves its slot, so the links are taken under the lock.
            open = slots.values().stream()
                    .flatMap(slot -> Stream.of(slot.link, slot.replacement))
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
        if (slot != null) {
            Stream.of(slot.link, slot.replacement).filter(Objects::nonNull).forEach(OutboundLink::close);
        }
        Slot created = new Slot(to, random, context.limits());
        slots.put(to.vm(), created);
        return created;
    }

    private void opened(Slot slot, OutboundLink link) {
        OutboundLink replaced = null;
        synchronized (slots) {
            slot.backoff.opened();
            if (slot.replacement == link) {
                replaced = slot.link;
                slot.link = link;
                slot.replacement = null;
            }
        }
        LOG.info("event=peer_link_open vm={} incarnation={}", slot.to.vm(), slot.to.incarnation());
        listener.linkOpened(link.to());
        if (replaced != null) {
            replaced.close();
            LOG.warn("event=peer_link_failed vm={} reason=\"it went silent and was replaced\"", slot.to.vm());
            listener.linkFailed(link.to());
        }
    }

    private void failed(Slot slot, OutboundLink link, PeerFailure failure) {
        if (failure instanceof PeerFailure.Superseded superseded && listener.followsIncarnations()) {
            follow(superseded.newer(), link);
            return;
        }
        boolean spare;
        synchronized (slots) {
            spare = slot.replacement == link;
            if (slot.remove(link)) {
                slot.backoff.failed(nowMillis.getAsLong());
            }
        }
        LOG.warn("event=peer_link_failed vm={} reason=\"{}\"", slot.to.vm(), failure.describe());
        if (!spare) {
            listener.linkFailed(link.to());
        }
    }

    /**
     * Dials a later incarnation at once and sends it the frames that waited. Without this, a fleet whose VMs all started
     * again would wait for the store to list the new incarnations, and for the backoff of links to the old ones.
     */
    private void follow(VmAddress newer, OutboundLink superseded) {
        LOG.info("event=peer_incarnation_changed vm={} incarnation={}", newer.vm(), newer.incarnation());
        OutboundLink dialled;
        synchronized (slots) {
            // The frames that wait precede those of a sender that learns the new address.
            Slot slot = slotOf(newer);
            dialled = dialIfNeeded(slot);
            if (slot.link != null) {
                superseded.unsentFrames().forEach(slot.link::send);
            }
        }
        listener.incarnationChanged(newer);
        if (dialled != null) {
            dialler.accept(dialled);
        }
    }

    /** The link to one VM and the delay of its next dial. */
    private static final class Slot {

        private final VmAddress to;
        private final DialBackoff backoff;
        private OutboundLink link;
        private OutboundLink replacement;

        Slot(VmAddress to, RandomGenerator random, PeerOptions.Limits limits) {
            this.to = to;
            this.backoff = new DialBackoff(limits.minBackoffMillis(), limits.maxBackoffMillis(), random);
        }

        /** Removes a failed link, whose place its replacement takes, and returns whether the slot had it. */
        private boolean remove(OutboundLink failed) {
            if (link != failed && replacement != failed) {
                return false;
            }
            if (link == failed) {
                link = replacement;
            }
            replacement = null;
            return true;
        }
    }
}
