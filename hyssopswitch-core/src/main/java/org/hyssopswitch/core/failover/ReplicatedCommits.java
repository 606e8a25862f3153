package org.hyssopswitch.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The commits of a group with synchronous replication that any server which may be promoted has, or that are counted when
 * one is chosen.
 *
 * <p>A primary acknowledges a commit once any one server has received it, also one that the promotion leader does not know.
 * Callers are told of a commit only once it is among these.
 *
 * @param last position of the last of these commits; commits of earlier terms are not among them
 */
public record ReplicatedCommits(LogPosition last) {

    /** No commits. */
    public static final ReplicatedCommits NONE = new ReplicatedCommits(LogPosition.ZERO);

    /** Checks that there is a position. */
    public ReplicatedCommits {
        Objects.requireNonNull(last, "last");
    }

    /**
     * Returns the commits that all of some replicas have received.
     *
     * @param statuses statuses of the replicas; one that leads has not confirmed the commits of another primary
     */
    public static ReplicatedCommits receivedByAll(Collection<ReplicationStatus> statuses) {
        boolean sameTerm = statuses.stream()
                        .map(status -> status.received().term())
                        .distinct()
                        .count()
                == 1;
        if (!sameTerm || statuses.stream().anyMatch(ReplicationStatus::primary)) {
            return NONE;
        }
        return statuses.stream()
                .map(ReplicationStatus::received)
                .min(Comparator.naturalOrder())
                .map(ReplicatedCommits::new)
                .orElse(NONE);
    }

    /**
     * Returns these commits or the others, whichever are later.
     *
     * @param other other commits of the group
     */
    public ReplicatedCommits latest(ReplicatedCommits other) {
        return new ReplicatedCommits(last.max(other.last));
    }

    /**
     * Whether a commit is among these. A later term says nothing of the commits of an earlier one, as its primary may lack
     * some of them.
     *
     * @param commit log position of the commit, or a later one of the same term
     */
    public boolean include(LogPosition commit) {
        return commit.term() == last.term() && commit.offset() <= last.offset();
    }
}
