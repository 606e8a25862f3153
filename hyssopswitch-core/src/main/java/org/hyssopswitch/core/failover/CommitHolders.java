package org.hyssopswitch.core.failover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.hyssopswitch.core.position.LogPosition;

/**
 * The servers of a group with synchronous replication that may hold its acknowledged commits.
 *
 * <p>Load: commits are acknowledged by whichever replicas receive them, while replicas leave, lapse from the list or
 * receive nothing. Every acknowledged commit up to {@code floor} is in the log of a server that has received the floor;
 * every later one is held by at least as many of the holders as have to receive a commit. A server that is no longer
 * listed therefore stays a holder until its successor has its log or enough others are known to have received it.
 *
 * @param holders the primary and all replicas, listed or not
 * @param primary endpoint that was the primary when it was last known; empty if none was ever known
 * @param floor position that a server must have received to become the primary
 */
public record CommitHolders(List<CommitHolder> holders, String primary, LogPosition floor) {

    /** The holders of a group of which nothing is known yet. */
    public static final CommitHolders UNKNOWN = new CommitHolders(List.of(), "", LogPosition.ZERO);

    /** Copies the list. */
    public CommitHolders {
        holders = List.copyOf(holders);
        Objects.requireNonNull(primary, "primary");
        Objects.requireNonNull(floor, "floor");
    }

    /**
     * Adds the listed servers. One that is no longer listed stays, unless a listed one has inherited its log.
     *
     * @param listed the listed servers of the group
     * @param knownPrimary endpoint that is the primary; empty if none is known
     */
    public CommitHolders withListed(Collection<CommitHolder> listed, String knownPrimary) {
        List<CommitHolder> next = new ArrayList<>();
        for (CommitHolder holder : holders) {
            boolean still = listed.stream().anyMatch(holder::sameProcess);
            boolean inherited = listed.stream().anyMatch(one -> one.inheritsLogOf(holder));
            boolean restarted = listed.stream().anyMatch(one -> one.replaces(holder));
            if (!still && !inherited) {
                next.add(restarted ? holder.withoutSuccessor() : holder);
            }
        }
        listed.stream().sorted(Comparator.comparing(CommitHolder::endpoint)).forEach(next::add);
        return new CommitHolders(next, knownPrimary.isEmpty() ? primary : knownPrimary, floor);
    }

    /**
     * Chooses the server to promote: the most advanced one, one that stays rather than one that is draining. It must
     * have received every acknowledged commit, so the holders that may be ahead of it must be too few for a commit.
     *
     * @param copies number of servers that hold an acknowledged commit, the primary included
     * @param received log positions of the holders that answered
     * @param eligible whether a holder can become the primary
     * @return the server, or none if each of them may lack an acknowledged commit
     */
    public Optional<CommitHolder> choosePrimary(
            int copies, Map<CommitHolder, LogPosition> received, Predicate<CommitHolder> eligible) {
        Comparator<CommitHolder> preference = Comparator.comparing(CommitHolder::draining)
                .thenComparing(received::get, Comparator.reverseOrder())
                .thenComparing(CommitHolder::endpoint);
        return holders.stream()
                .filter(holder -> received.containsKey(holder) && eligible.test(holder))
                .sorted(preference)
                .filter(holder -> holdsAllCommits(holder, copies, received))
                .findFirst();
    }

    /**
     * Returns the holders once a promotion has been ordered. The promoted server must be followed by servers that have
     * received its log; one that had ended before receives nothing of the new term.
     *
     * @param target the server to promote
     * @param received log position that it has received
     * @param ended processes that had ended when the target was chosen
     */
    public CommitHolders withPromoted(CommitHolder target, LogPosition received, Set<CommitHolder> ended) {
        return new CommitHolders(without(ended), target.endpoint(), floor.max(received));
    }

    /**
     * Removes processes that have ended, if enough others have received all that those may hold.
     *
     * @param ended processes that had ended before the primary was queried
     * @param copies number of servers that hold an acknowledged commit, the primary included
     * @param primaryPosition log position of the primary
     * @param received log positions of the holders that answered
     */
    public CommitHolders withoutEnded(
            Set<CommitHolder> ended, int copies, LogPosition primaryPosition, Map<CommitHolder, LogPosition> received) {
        long complete = received.entrySet().stream()
                .filter(answer -> holders.contains(answer.getKey())
                        && !ended.contains(answer.getKey())
                        && answer.getValue().compareTo(primaryPosition) >= 0)
                .count();
        return complete >= copies ? new CommitHolders(without(ended), primary, floor) : this;
    }

    private boolean holdsAllCommits(CommitHolder candidate, int copies, Map<CommitHolder, LogPosition> received) {
        LogPosition own = received.get(candidate);
        long maybeAhead = holders.stream()
                .filter(holder ->
                        !received.containsKey(holder) || received.get(holder).compareTo(own) > 0)
                .count();
        // A primary that was never seen is one more server that may be ahead.
        long unseen = primary.isEmpty() ? 1 : 0;
        return maybeAhead + unseen < copies && own.compareTo(floor) >= 0;
    }

    private List<CommitHolder> without(Set<CommitHolder> removed) {
        return holders.stream().filter(holder -> !removed.contains(holder)).toList();
    }
}
