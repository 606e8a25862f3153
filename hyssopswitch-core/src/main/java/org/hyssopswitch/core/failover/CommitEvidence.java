package org.hyssopswitch.core.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Decides, by the statuses of the servers of a group with synchronous replication, which commits outlast every promotion.
 *
 * <p>These are the commits that a recorded replica has received, which counts when a server is chosen for promotion. From
 * the start of a pause until its target leads, or until no promotion of it can take effect any more, only what the target has
 * received counts: a paused replica that starts again receives again, and so does a server that is not recorded yet.
 */
public final class CommitEvidence {

    private final Set<CommitHolder> answered = new HashSet<>();
    private List<CommitHolder> holders = List.of();
    private String primary = "";
    private Optional<String> target = Optional.empty();
    private boolean targetLeads;
    private long latestTerm;
    private ReplicatedCommits confirmed = ReplicatedCommits.NONE;

    /**
     * Sets the state of the group, before statuses are added or servers are queried.
     *
     * @param recorded the recorded servers
     * @param knownPrimary endpoint that is the primary; empty if none is known
     * @param promoting endpoint that may be promoted while others may be paused
     */
    public void update(List<CommitHolder> recorded, String knownPrimary, Optional<String> promoting) {
        if (target.isPresent() && promoting.isEmpty() && !targetLeads) {
            // The promotion may have taken effect, so that the term has to be learnt again.
            answered.clear();
        }
        targetLeads &= target.equals(promoting);
        holders = List.copyOf(recorded);
        primary = Objects.requireNonNull(knownPrimary, "knownPrimary");
        target = Objects.requireNonNull(promoting, "promoting");
    }

    /** Returns the servers to query: those that may confirm commits, or all of them until the term is known. */
    public List<CommitHolder> required() {
        return isTermKnown() ? holders.stream().filter(this::isCounted).toList() : holders;
    }

    /** Returns the recorded servers without the primary. */
    public List<CommitHolder> replicas() {
        return holders.stream()
                .filter(holder -> !holder.endpoint().equals(primary))
                .toList();
    }

    /**
     * Adds a status, which may be an earlier one of the same process.
     *
     * @param server the server
     * @param status its status
     * @return whether more commits are confirmed than before
     */
    public boolean add(CommitHolder server, ReplicationStatus status) {
        answered.add(server);
        latestTerm = Math.max(latestTerm, status.latestLedTerm());
        targetLeads |= status.primary() && target.equals(Optional.of(server.endpoint()));
        LogPosition received = ReplicatedCommits.receivedByAll(List.of(status)).last();
        // A former primary may report commits of its term that the present one lacks.
        boolean counts = isTermKnown() && received.term() >= latestTerm && mayConfirm(server);
        if (!counts || received.compareTo(confirmed.last()) <= 0) {
            return false;
        }
        confirmed = new ReplicatedCommits(received);
        return true;
    }

    /** Returns the commits that outlast every promotion. */
    public ReplicatedCommits confirmed() {
        return confirmed;
    }

    private boolean mayConfirm(CommitHolder server) {
        return holders.contains(server) && isCounted(server);
    }

    private boolean isCounted(CommitHolder server) {
        return (target.isEmpty() || targetLeads)
                ? !server.endpoint().equals(primary)
                : server.endpoint().equals(target.get());
    }

    /** Whether most servers have told their terms, so that the latest one is among them. */
    private boolean isTermKnown() {
        return holders.stream().filter(answered::contains).count() * 2 > holders.size();
    }
}
