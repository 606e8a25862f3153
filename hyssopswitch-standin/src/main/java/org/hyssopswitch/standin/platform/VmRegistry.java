package org.hyssopswitch.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/** The list of VMs, which shows changes some time after they were made. Not thread-safe. */
final class VmRegistry {

    private final long lagMillis;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<VmId, VmAddress> live = new TreeMap<>();
    private final Map<VmId, VmAddress> leaving = new TreeMap<>();

    VmRegistry(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    void register(VmAddress vm, long nowMillis) {
        change(nowMillis, () -> {
            leaving.remove(vm.vm());
            live.put(vm.vm(), vm);
        });
    }

    void leave(VmId vm, long nowMillis) {
        change(nowMillis, () -> {
            VmAddress address = live.remove(vm);
            if (address != null) {
                leaving.put(vm, address);
            }
        });
    }

    void remove(VmId vm, long nowMillis) {
        change(nowMillis, () -> {
            live.remove(vm);
            leaving.remove(vm);
        });
    }

    VmLists lists(long nowMillis) {
        while (!pending.isEmpty() && pending.peek().madeMillis() + lagMillis <= nowMillis) {
            pending.remove().effect().run();
        }
        return new VmLists(List.copyOf(live.values()), List.copyOf(leaving.values()));
    }

    private void change(long nowMillis, Runnable effect) {
        pending.add(new Change(nowMillis, effect));
    }

    /** The lists as shown. */
    record VmLists(List<VmAddress> live, List<VmAddress> leaving) {}

    private record Change(long madeMillis, Runnable effect) {}
}
