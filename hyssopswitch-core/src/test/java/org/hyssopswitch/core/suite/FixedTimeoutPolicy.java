package org.hyssopswitch.core.suite;

import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.failover.GroupTable;
import org.hyssopswitch.core.failover.RequiredPromotion;
import org.hyssopswitch.core.failover.SuspicionPolicy;

/**
 * Baseline policy: replaces a primary without a fresh report for a fixed time, on the judgement of a single VM. It
 * decides only once all endpoints of the group have reported.
 */
record FixedTimeoutPolicy(long timeoutMillis) implements SuspicionPolicy {

    @Override
    public RequiredPromotion evaluate(DatabaseDeclaration database, GroupTable table, long nowMillis) {
        boolean missed = table.rows(database).size() == database.endpoints().size()
                && table.primary(database)
                        .filter(p -> p.isFresh(nowMillis, timeoutMillis))
                        .isEmpty();
        return missed ? RequiredPromotion.REPLACE : RequiredPromotion.NONE;
    }
}
