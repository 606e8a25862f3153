package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.configuration.DatabaseDeclaration;

/** Decides whether a group requires a promotion. */
public interface SuspicionPolicy {

    /**
     * Returns the promotion that a group requires according to the reports about it.
     *
     * @param database the group
     * @param table the last reports about its endpoints
     * @param nowMillis milliseconds of the monotonic clock
     */
    RequiredPromotion evaluate(DatabaseDeclaration database, GroupTable table, long nowMillis);
}
