package org.hyssopswitch.pool.failover;

import java.util.List;
import org.hyssopswitch.core.failover.CommitHolder;
import org.hyssopswitch.pool.endpoint.DatabaseGroup;
import org.hyssopswitch.pool.store.ObjectTable;
import org.hyssopswitch.proxy.net.DecisionLoop;

/** What the fences of all groups share. */
interface FenceContext {

    /** Returns the records of all fences. */
    ObjectTable<FenceRecord> table();

    /** Returns the decision thread. */
    DecisionLoop loop();

    /** Whether this VM is the promotion leader, as far as it knows. */
    boolean isLeader();

    /** Returns the number of the leadership that this VM holds. */
    long leadership();

    /** Another VM has become the leader. */
    void leadershipLost();

    /** Returns the servers of a group that may be paused. */
    List<CommitHolder> holders(DatabaseGroup group);
}
