package org.hyssopswitch.pool.failover;

import java.util.Objects;
import org.hyssopswitch.core.failover.CommitHolders;
import org.hyssopswitch.pool.store.ObjectTable;

/**
 * What the promotion leader keeps in the store.
 *
 * @param leadership the leadership record
 * @param commitHolders servers that may hold acknowledged commits, by group
 * @param fences groups whose replicas may be paused for a promotion
 */
public record FailoverTables(
        ObjectTable<LeadershipRecord> leadership,
        ObjectTable<CommitHolders> commitHolders,
        ObjectTable<FenceRecord> fences) {

    /** Checks that no table is missing. */
    public FailoverTables {
        Objects.requireNonNull(leadership, "leadership");
        Objects.requireNonNull(commitHolders, "commitHolders");
        Objects.requireNonNull(fences, "fences");
    }
}
