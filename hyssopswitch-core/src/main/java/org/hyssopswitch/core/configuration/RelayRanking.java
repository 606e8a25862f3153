package org.hyssopswitch.core.configuration;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * Ranks the VMs of a cell as relays by rendezvous hashing, so that the next one takes over from a dead one. The ranking is
 * kept until the view changes.
 */
final class RelayRanking {

    private static final String KEY = "relay";
    private static final int CELLS_ELSEWHERE = 2;

    private final MembershipView view;
    private final RandomGenerator random;
    private List<VmAddress> ranked = List.of();
    private List<VmAddress> others = List.of();
    private long rankedVersion;
    private boolean isRanked;

    RelayRanking(MembershipView view, RandomGenerator random) {
        this.view = view;
        this.random = random;
    }

    VmAddress self() {
        return view.self();
    }

    /** The other live members of the own cell. */
    List<VmAddress> otherMembers() {
        refresh();
        return others;
    }

    /** Whether this VM is among the first live members. */
    boolean isRelay(int relays) {
        return topRanked(relays).contains(self());
    }

    /** The first live members that are not suspected. */
    List<VmAddress> topRanked(int count) {
        refresh();
        return ranked.subList(0, Math.min(count, ranked.size()));
    }

    /** A random live member of one of the few other cells that this VM asks. */
    List<VmAddress> chooseMemberOfOtherCell(List<CellId> cells) {
        List<VmAddress> members = cells.stream()
                .filter(c -> !c.equals(self().cell()))
                .sorted(RendezvousUtils.byScore(self().vm().value(), CellId::value))
                .limit(CELLS_ELSEWHERE)
                .flatMap(c -> view.live(c).stream())
                .filter(a -> !view.isSuspected(a))
                .toList();
        return members.isEmpty() ? members : List.of(members.get(random.nextInt(members.size())));
    }

    private void refresh() {
        if (isRanked && rankedVersion == view.version()) {
            return;
        }
        List<VmAddress> live = view.live(self().cell());
        others = live.stream().filter(a -> !a.equals(self())).toList();
        ranked = live.stream()
                .filter(a -> a.equals(self()) || !view.isSuspected(a))
                .sorted(RendezvousUtils.byScore(KEY, a -> a.vm().value()))
                .toList();
        rankedVersion = view.version();
        isRanked = true;
    }
}
