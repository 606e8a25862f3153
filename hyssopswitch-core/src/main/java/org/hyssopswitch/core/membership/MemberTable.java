package org.hyssopswitch.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;

/**
 * The members of the own cell. Holds at most {@value #MAX_MEMBERS} rows: when it is full, rows of members that are not
 * live are evicted, and if none are, further members are ignored.
 */
final class MemberTable {

    static final int MAX_MEMBERS = 48;
    static final int MAX_UPDATES_PER_MESSAGE = 6;

    private static final int TRANSMISSIONS_PER_SIZE_DOUBLING = 3;
    private static final long DEAD_RETENTION_MILLIS = 60_000;
    private static final long LINK_FAILURE_SUSPICION_MILLIS = 1_000;
    private static final int MAX_GONE_INCARNATIONS = 1_024;

    private final VmAddress self;
    private final Map<VmId, Member> members = new TreeMap<>();
    private final Map<VmId, Long> goneIncarnations = new LinkedHashMap<>();
    private long version;

    MemberTable(VmAddress self) {
        this.self = self;
        members.put(self.vm(), new Member(new MemberUpdate(self, MemberState.ALIVE, 0, false), 0, 1));
    }

    long version() {
        return version;
    }

    Collection<Member> rows() {
        return members.values();
    }

    Optional<Member> find(VmId vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /** Returns the latest updates that satisfy a condition, ordered by the members' names. */
    List<MemberUpdate> latestUpdates(Predicate<MemberUpdate> condition) {
        return members.values().stream()
                .map(Member::latestUpdate)
                .filter(condition)
                .toList();
    }

    boolean isGone(VmId vm, long incarnation) {
        return incarnation <= goneIncarnations.getOrDefault(vm, Long.MIN_VALUE);
    }

    /** Applies an update about a member of the own cell if it supersedes the latest known one. */
    void merge(MemberUpdate update, long nowMillis) {
        VmAddress address = update.address();
        if (!address.cell().equals(self.cell())) {
            return;
        }
        if (update.state() == MemberState.GONE) {
            recordGone(address.vm(), address.incarnation());
        }
        if (address.vm().equals(self.vm())) {
            mergeSelf(update, nowMillis);
            return;
        }
        Member row = members.get(address.vm());
        if (row == null) {
            insert(update, nowMillis);
            return;
        }
        mergeRow(row, update, nowMillis);
    }

    /**
     * Records that a message from a VM arrived: its incarnation has started, and a suspicion from a failed link ends.
     */
    void recordContact(VmAddress from, long nowMillis) {
        merge(new MemberUpdate(from, MemberState.ALIVE, 0, false), nowMillis);
        find(from.vm()).ifPresent(row -> clearLinkFailure(row, Long.MAX_VALUE));
    }

    void suspect(VmAddress address, long nowMillis) {
        raiseState(address, MemberState.SUSPECT, nowMillis);
    }

    void markLinkFailed(VmAddress address, long nowMillis) {
        find(address.vm())
                .filter(row -> row.latestUpdate().address().equals(address) && !address.equals(self))
                .ifPresent(row -> {
                    row.markLinkFailed(nowMillis + LINK_FAILURE_SUSPICION_MILLIS);
                    version++;
                });
    }

    void markLeaving(VmAddress address, long nowMillis) {
        find(address.vm())
                .map(Member::latestUpdate)
                .filter(latest -> latest.address().incarnation() == address.incarnation() && !latest.leaving())
                .ifPresent(latest -> change(
                        members.get(address.vm()),
                        new MemberUpdate(latest.address(), latest.state(), latest.counter(), true),
                        nowMillis));
    }

    /** Declares dead the members whose suspicion has timed out and evicts those that have been dead for long enough. */
    void expire(long nowMillis, long suspicionMillis) {
        for (Member row : List.copyOf(members.values())) {
            clearLinkFailure(row, nowMillis);
            MemberState state = row.latestUpdate().state();
            if (state == MemberState.SUSPECT && nowMillis - row.stateChangedMillis() >= suspicionMillis) {
                raiseState(row.latestUpdate().address(), MemberState.DEAD, nowMillis);
            }
            if (!row.latestUpdate().isLive() && nowMillis - row.stateChangedMillis() > DEAD_RETENTION_MILLIS) {
                members.remove(row.latestUpdate().address().vm());
                version++;
            }
        }
    }

    /** Declares gone the dead members that an earlier list of the platform contained and this one lacks. */
    void applyVmList(Predicate<VmAddress> isListed, long nowMillis) {
        for (Member row : List.copyOf(members.values())) {
            VmAddress address = row.latestUpdate().address();
            if (isListed.test(address)) {
                row.markListed();
            } else if (row.latestUpdate().state() == MemberState.DEAD && row.isListed()) {
                recordGone(address.vm(), address.incarnation());
                raiseState(address, MemberState.GONE, nowMillis);
            }
        }
    }

    /**
     * Selects the updates to send with a message: the one about the recipient, if it is not alive, so that it can
     * refute, then those with the most remaining transmissions.
     */
    List<MemberUpdate> updatesFor(VmAddress recipient) {
        List<MemberUpdate> updates = new ArrayList<>();
        find(recipient.vm())
                .filter(row -> row.latestUpdate().state() != MemberState.ALIVE)
                .ifPresent(row -> updates.add(row.latestUpdate()));
        List<Member> pending = members.values().stream()
                .filter(row -> row.remainingTransmissions() > 0)
                .sorted(Comparator.comparingInt(Member::remainingTransmissions).reversed())
                .limit(MAX_UPDATES_PER_MESSAGE - updates.size())
                .toList();
        pending.forEach(row -> {
            row.countTransmission();
            updates.add(row.latestUpdate());
        });
        return updates;
    }

    private void mergeSelf(MemberUpdate update, long nowMillis) {
        Member own = members.get(self.vm());
        MemberUpdate latest = own.latestUpdate();
        boolean sameIncarnation = update.address().incarnation() == self.incarnation();
        if (sameIncarnation && update.state() != MemberState.ALIVE && update.counter() >= latest.counter()) {
            change(own, new MemberUpdate(self, MemberState.ALIVE, update.counter() + 1, latest.leaving()), nowMillis);
        }
        if (update.address().incarnation() > self.incarnation()) {
            recordGone(self.vm(), self.incarnation());
        }
    }

    private void mergeRow(Member row, MemberUpdate update, long nowMillis) {
        MemberUpdate latest = row.latestUpdate();
        long known = latest.address().incarnation();
        long incoming = update.address().incarnation();
        if (incoming > known) {
            recordGone(latest.address().vm(), known);
            change(row, update, nowMillis);
        } else if (incoming == known && update.supersedes(latest)) {
            boolean leaving = latest.leaving() || update.leaving();
            change(row, new MemberUpdate(latest.address(), update.state(), update.counter(), leaving), nowMillis);
        } else if (incoming == known && update.leaving()) {
            markLeaving(latest.address(), nowMillis);
        }
    }

    private void insert(MemberUpdate update, long nowMillis) {
        if (!update.isLive()) {
            return;
        }
        if (members.size() >= MAX_MEMBERS) {
            members.values().removeIf(row -> !row.latestUpdate().isLive());
        }
        if (members.size() < MAX_MEMBERS) {
            members.put(update.address().vm(), new Member(update, nowMillis, transmissionsPerUpdate()));
            version++;
        }
    }

    private void raiseState(VmAddress address, MemberState state, long nowMillis) {
        find(address.vm())
                .filter(row -> row.latestUpdate().address().equals(address)
                        && row.latestUpdate().state().compareTo(state) < 0
                        && !address.equals(self))
                .ifPresent(row -> change(
                        row,
                        new MemberUpdate(
                                address,
                                state,
                                row.latestUpdate().counter(),
                                row.latestUpdate().leaving()),
                        nowMillis));
    }

    private void change(Member row, MemberUpdate next, long nowMillis) {
        row.applyUpdate(next, nowMillis, transmissionsPerUpdate());
        version++;
    }

    private void clearLinkFailure(Member row, long nowMillis) {
        if (row.clearLinkFailure(nowMillis)) {
            version++;
        }
    }

    private void recordGone(VmId vm, long incarnation) {
        goneIncarnations.merge(vm, incarnation, Math::max);
        if (goneIncarnations.size() > MAX_GONE_INCARNATIONS) {
            goneIncarnations.remove(goneIncarnations.keySet().iterator().next());
        }
    }

    private int transmissionsPerUpdate() {
        return TRANSMISSIONS_PER_SIZE_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
    }
}
