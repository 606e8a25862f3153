package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.configuration.DatabaseDeclaration;

/** Decides whether the primary of a group has to be replaced. */
public interface SuspicionPolicy {

    /**
     * Weighs the reports about a group.
     *
     * @param database the group
     * @param table the last reports
     * @param nowMillis milliseconds of the monotonic clock
     */
    boolean isDue(DatabaseDeclaration database, GroupTable table, long nowMillis);
}
