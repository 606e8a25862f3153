package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.configuration.DatabaseDeclaration;

/** Decides whether a group needs a promotion. */
public interface SuspicionPolicy {

    /**
     * Weighs the reports about a group.
     *
     * @param database the group
     * @param table the last reports
     * @param nowMillis milliseconds of the monotonic clock
     */
    RequiredPromotion evaluate(DatabaseDeclaration database, GroupTable table, long nowMillis);
}
