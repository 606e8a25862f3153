package org.hyssopswitch.bench.configuration;

import java.util.List;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.membership.MembershipView;

/** A view in which all members of one cell are live. */
record FixedView(VmAddress self, List<VmAddress> members) implements MembershipView {

    @Override
    public long version() {
        return 0;
    }

    @Override
    public List<VmAddress> live(CellId cell) {
        return members;
    }

    @Override
    public List<VmAddress> candidates(CellId cell) {
        return members;
    }

    @Override
    public boolean isSuspected(VmAddress vm) {
        return false;
    }

    @Override
    public boolean isConfirmedGone(VmId vm, long incarnation) {
        return false;
    }
}
