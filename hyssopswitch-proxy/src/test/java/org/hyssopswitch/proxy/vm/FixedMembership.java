package org.hyssopswitch.proxy.vm;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.membership.MembershipView;

/** A membership that tests change by hand; shared by all VMs of a test. */
final class FixedMembership {

    private final List<VmAddress> members = new CopyOnWriteArrayList<>();
    private final Set<VmAddress> leaving = ConcurrentHashMap.newKeySet();
    private final AtomicLong version = new AtomicLong();

    void join(VmAddress vm) {
        members.add(vm);
        version.incrementAndGet();
    }

    void remove(VmAddress vm) {
        members.remove(vm);
        version.incrementAndGet();
    }

    void leave(VmAddress vm) {
        leaving.add(vm);
        version.incrementAndGet();
    }

    MembershipView viewOf(VmAddress self) {
        return new View(self);
    }

    private final class View implements MembershipView {

        private final VmAddress self;

        View(VmAddress self) {
            this.self = self;
        }

        @Override
        public VmAddress self() {
            return self;
        }

        @Override
        public long version() {
            return version.get();
        }

        @Override
        public List<VmAddress> live(CellId cell) {
            return members.stream().filter(m -> m.cell().equals(cell)).toList();
        }

        @Override
        public List<VmAddress> candidates(CellId cell) {
            return live(cell).stream().filter(m -> !leaving.contains(m)).toList();
        }

        @Override
        public boolean isSuspected(VmAddress vm) {
            return false;
        }

        @Override
        public boolean isConfirmedGone(VmId vm, long incarnation) {
            return members.stream().noneMatch(m -> m.vm().equals(vm) && m.incarnation() == incarnation);
        }
    }
}
