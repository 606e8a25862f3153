package org.hyssopswitch.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The servers of a group with synchronous replication that receive nothing while another one is promoted.
 *
 * <p>Only the target goes on receiving. What the old primary can still acknowledge until the promotion takes effect is
 * therefore in the log of the target, and callers can write for as long as the primary leads.
 *
 * @param target the server to promote
 * @param term a term above all that the servers reported
 * @param members the servers to pause
 */
public record ReplicationFence(CommitHolder target, long term, List<CommitHolder> members) {

    /** Copies the list. */
    public ReplicationFence {
        Objects.requireNonNull(target, "target");
        members = List.copyOf(members);
    }

    /**
     * Returns the fence for a target. A server that leads cannot be paused; it counts as one that may be ahead.
     *
     * @param target the server to promote
     * @param statuses statuses of the servers that answered
     */
    public static ReplicationFence around(CommitHolder target, Map<CommitHolder, ReplicationStatus> statuses) {
        long latestTerm = statuses.values().stream()
                .mapToLong(status -> Math.max(status.term(), status.received().term()))
                .max()
                .orElse(0);
        List<CommitHolder> members = statuses.entrySet().stream()
                .filter(answer ->
                        !answer.getKey().equals(target) && !answer.getValue().primary())
                .map(Map.Entry::getKey)
                .sorted(Comparator.comparing(CommitHolder::endpoint).thenComparing(CommitHolder::bornMillis))
                .toList();
        return new ReplicationFence(target, latestTerm + 1, members);
    }

    /**
     * Whether every commit that has been acknowledged, or will be before the promotion takes effect, is or will be in the
     * log of the target.
     *
     * @param holders servers that may hold acknowledged commits
     * @param copies number of servers that hold an acknowledged commit, the primary included
     * @param paused statuses of the members that confirmed the pause
     * @param targetReceived log position of the target, read at any time before its promotion
     */
    public boolean covers(
            CommitHolders holders,
            int copies,
            Map<CommitHolder, ReplicationStatus> paused,
            LogPosition targetReceived) {
        Map<CommitHolder, LogPosition> fixed = fixedPositions(paused);
        fixed.put(target, targetReceived);
        return holders.choosePrimary(copies, fixed, target::equals).isPresent();
    }

    private Map<CommitHolder, LogPosition> fixedPositions(Map<CommitHolder, ReplicationStatus> paused) {
        Map<CommitHolder, LogPosition> fixed = new HashMap<>();
        paused.forEach((member, status) -> {
            if (members.contains(member) && holds(status)) {
                fixed.put(member, status.received());
            }
        });
        return fixed;
    }

    /** Whether a member receives nothing more; not if it knows of a later term, in which it may have been unpaused. */
    private boolean holds(ReplicationStatus status) {
        return !status.primary() && status.term() <= term && status.received().term() < term;
    }
}
