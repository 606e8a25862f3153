package org.hyssopswitch.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/**
 * Cached views of other cells. Each cell in use is polled once per period, through one of its VMs chosen at random.
 *
 * <p>A reply carries members only when the view has changed, so a cell without changes costs one small request and
 * reply per period.
 */
final class CellDirectory {

    private static final int MAX_CELLS = 128;
    private static final int MAX_CONTACTS = MemberTable.MAX_MEMBERS;
    private static final long PULL_PERIOD_MILLIS = 1_000;
    private static final long CELL_IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long LINK_FAILURE_SUSPICION_MILLIS = 1_000;

    private final RandomGenerator random;
    private final Map<CellId, Cell> cells = new LinkedHashMap<>();
    private final Map<CellId, Map<VmId, VmAddress>> contacts = new HashMap<>();
    private final Map<VmAddress, Long> suspectedUntilMillis = new HashMap<>();
    private long version;

    CellDirectory(RandomGenerator random) {
        this.random = random;
    }

    long version() {
        return version;
    }

    /**
     * Adds a VM from which the view of its cell can be requested; a lower incarnation than the known one is ignored.
     */
    void addContact(VmAddress address) {
        Map<VmId, VmAddress> known = contacts.computeIfAbsent(address.cell(), c -> new TreeMap<>());
        VmAddress old = known.get(address.vm());
        boolean newer = old == null ? known.size() < MAX_CONTACTS : old.incarnation() < address.incarnation();
        if (newer) {
            known.put(address.vm(), address);
            version++;
        }
    }

    /** Removes contacts that the platform's list of VMs lacks; a cell without any listed VM keeps its contacts. */
    void retainListed(Collection<VmAddress> listed) {
        Map<CellId, Map<VmId, VmAddress>> listedByCell = new HashMap<>();
        listed.forEach(a ->
                listedByCell.computeIfAbsent(a.cell(), c -> new TreeMap<>()).put(a.vm(), a));
        listedByCell.forEach((cell, vms) -> {
            Map<VmId, VmAddress> known = contacts.computeIfAbsent(cell, c -> new TreeMap<>());
            known.keySet().retainAll(vms.keySet());
            vms.values().forEach(this::addContact);
        });
    }

    /**
     * Returns the members of a cell as last reported, or its contacts when no view has arrived yet. Marks the cell as
     * in use; at the limit, the cell first used longest ago is evicted.
     */
    List<MemberUpdate> members(CellId id, long nowMillis) {
        if (!cells.containsKey(id) && cells.size() >= MAX_CELLS) {
            cells.remove(cells.keySet().iterator().next());
        }
        Cell cell = cells.computeIfAbsent(id, c -> new Cell());
        cell.lastUsedMillis = nowMillis;
        if (!cell.members.isEmpty()) {
            return cell.members;
        }
        return contacts.getOrDefault(id, Map.of()).values().stream()
                .map(a -> new MemberUpdate(a, MemberState.ALIVE, 0, false))
                .toList();
    }

    boolean isSuspected(VmAddress address) {
        return suspectedUntilMillis.containsKey(address);
    }

    void markLinkFailed(VmAddress address, long nowMillis) {
        suspectedUntilMillis.put(address, nowMillis + LINK_FAILURE_SUSPICION_MILLIS);
        version++;
    }

    /** Whether some cell in use has no known VM. */
    boolean lacksContacts() {
        return cells.keySet().stream()
                .anyMatch(id -> contacts.getOrDefault(id, Map.of()).isEmpty());
    }

    void tick(long nowMillis, Outbox out) {
        cells.values().removeIf(cell -> nowMillis - cell.lastUsedMillis > CELL_IDLE_TIMEOUT_MILLIS);
        if (suspectedUntilMillis.values().removeIf(until -> nowMillis >= until)) {
            version++;
        }
        cells.forEach((id, cell) -> {
            if (nowMillis >= cell.nextPullMillis) {
                cell.nextPullMillis = nowMillis + jittered(PULL_PERIOD_MILLIS);
                requestView(id, cell, out);
            }
        });
    }

    void applyView(VmAddress from, CellViewReply reply) {
        Cell cell = cells.get(reply.cell());
        if (cell == null || !from.cell().equals(reply.cell()) || reply.digest() == 0) {
            return;
        }
        if (reply.digest() != cell.digest && !reply.members().isEmpty()) {
            cell.digest = reply.digest();
            cell.members =
                    reply.members().stream().limit(MemberTable.MAX_MEMBERS).toList();
            cell.members.forEach(m -> addContact(m.address()));
            version++;
        }
    }

    private void requestView(CellId id, Cell cell, Outbox out) {
        List<VmAddress> known =
                new ArrayList<>(contacts.getOrDefault(id, Map.of()).values());
        if (!known.isEmpty()) {
            VmAddress contact = known.get(random.nextInt(known.size()));
            out.add(new Action.SendMessage(contact, new CellViewRequest(id, cell.digest)));
        }
    }

    private long jittered(long millis) {
        return millis / 2 + random.nextLong(millis);
    }

    private static final class Cell {
        private List<MemberUpdate> members = List.of();
        private long digest;
        private long lastUsedMillis;
        private long nextPullMillis;
    }
}
