package org.hyssopswitch.core.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * Finds the VM that requests for a slot are sent to: the last known owner, or else the highest-ranked candidate, which
 * takes over a slot without an owner.
 */
final class SlotLocator {

    private final MembershipView view;
    private final Map<String, VmAddress> owners = new HashMap<>();
    private final SplitTable splits;
    private final Map<Integer, Boolean> selfIsCandidate = new HashMap<>();
    private long candidatesVersion = -1;

    SlotLocator(MembershipView view, SplitTable splits) {
        this.view = view;
        this.splits = splits;
    }

    /** Clears what was derived from an earlier configuration. */
    void clearCandidates() {
        selfIsCandidate.clear();
    }

    /** Whether this VM should take over a slot of its data centre that has no owner. */
    boolean isOwnCandidate(int slot) {
        if (candidatesVersion != view.version()) {
            candidatesVersion = view.version();
            selfIsCandidate.clear();
        }
        return selfIsCandidate.computeIfAbsent(slot, s -> {
            VmAddress self = view.self();
            List<CellId> cells = splits.cells(self.dataCentre());
            boolean ownCell = cells.isEmpty() || cells.get(s % cells.size()).equals(self.cell());
            return ownCell
                    && candidate(self.dataCentre(), s)
                            .filter(c -> c.vm().equals(self.vm()))
                            .isPresent();
        });
    }

    /** Returns the VM that should take over a slot that has no owner. */
    Optional<VmAddress> candidate(DataCentreId dataCentre, int slot) {
        List<CellId> cells = splits.cells(dataCentre);
        VmAddress self = view.self();
        CellId cell = cells.isEmpty() ? self.cell() : cells.get(slot % cells.size());
        if (cells.isEmpty() && !dataCentre.equals(self.dataCentre())) {
            return Optional.empty();
        }
        return view.candidates(cell).stream()
                .min(Comparator.comparing(view::isSuspected)
                        .thenComparing(RendezvousUtils.byScore(SlotUtils.path(dataCentre, slot), a -> a.vm().value())));
    }

    /** Returns the VM to send a request to. */
    Optional<VmAddress> find(DataCentreId dataCentre, int slot) {
        VmAddress known = owners.get(SlotUtils.path(dataCentre, slot));
        if (known != null && !view.isConfirmedGone(known.vm(), known.incarnation())) {
            return Optional.of(known);
        }
        return candidate(dataCentre, slot);
    }

    void recordOwner(DataCentreId dataCentre, int slot, VmAddress owner) {
        owners.put(SlotUtils.path(dataCentre, slot), owner);
    }

    void forgetOwner(DataCentreId dataCentre, int slot) {
        owners.remove(SlotUtils.path(dataCentre, slot));
    }
}
