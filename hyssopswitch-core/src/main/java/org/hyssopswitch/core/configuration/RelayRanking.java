package org.hyssopswitch.core.configuration;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * Ranks the VMs of a cell as relays by rendezvous hashing, so that the next VM takes over from a failed relay. The
 * ranking is cached until the view changes.
 */
final class RelayRanking {

    private static final String RANKING_KEY = "relay";
    private static final int MAX_OTHER_CELLS = 2;

    private final MembershipView view;
    private final RandomGenerator random;
    private List<VmAddress> ranked = List.of();
    private List<VmAddress> otherMembers = List.of();
    private long rankedVersion;
    private boolean initialized;

    RelayRanking(MembershipView view, RandomGenerator random) {
        this.view = view;
        this.random = random;
    }

    VmAddress self() {
        return view.self();
    }

    /** Returns the other live members of this VM's cell. */
    List<VmAddress> otherMembers() {
        refresh();
        return otherMembers;
    }

    /** Whether this VM is among the given number of highest-ranked members. */
    boolean isRelay(int count) {
        return topRanked(count).contains(self());
    }

    /** Returns up to the given number of highest-ranked live members that are not suspected. */
    List<VmAddress> topRanked(int count) {
        refresh();
        return ranked.subList(0, Math.min(count, ranked.size()));
    }

    /** Returns a random live member of one of the other cells that this VM queries, or an empty list. */
    List<VmAddress> chooseMemberOfOtherCell(List<CellId> cells) {
        List<VmAddress> members = cells.stream()
                .filter(c -> !c.equals(self().cell()))
                .sorted(RendezvousUtils.byScore(self().vm().value(), CellId::value))
                .limit(MAX_OTHER_CELLS)
                .flatMap(c -> view.live(c).stream())
                .filter(a -> !view.isSuspected(a))
                .toList();
        return members.isEmpty() ? members : List.of(members.get(random.nextInt(members.size())));
    }

    private void refresh() {
        if (initialized && rankedVersion == view.version()) {
            return;
        }
        List<VmAddress> live = view.live(self().cell());
        otherMembers = live.stream().filter(a -> !a.equals(self())).toList();
        ranked = live.stream()
                .filter(a -> a.equals(self()) || !view.isSuspected(a))
                .sorted(RendezvousUtils.byScore(RANKING_KEY, a -> a.vm().value()))
                .toList();
        rankedVersion = view.version();
        initialized = true;
    }
}
