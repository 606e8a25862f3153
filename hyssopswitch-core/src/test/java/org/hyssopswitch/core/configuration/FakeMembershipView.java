package org.hyssopswitch.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.membership.MembershipView;

/** Membership view whose live members are set by a test. */
final class FakeMembershipView implements MembershipView {

    private final VmAddress self;
    private final Set<VmAddress> live = new HashSet<>();
    private long version;

    FakeMembershipView(VmAddress self) {
        this.self = self;
    }

    void setLiveMembers(List<VmAddress> members) {
        version++;
        live.clear();
        live.addAll(members);
    }

    @Override
    public VmAddress self() {
        return self;
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public List<VmAddress> live(CellId cell) {
        return live.stream()
                .filter(a -> a.cell().equals(cell))
                .sorted((a, b) -> a.vm().compareTo(b.vm()))
                .toList();
    }

    @Override
    public List<VmAddress> candidates(CellId cell) {
        return live(cell);
    }

    @Override
    public boolean isSuspected(VmAddress vm) {
        return !live.contains(vm);
    }

    @Override
    public boolean isConfirmedGone(VmId vm, long incarnation) {
        return false;
    }
}
