package org.hyssopswitch.core.suite;

import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.failover.GroupTable;
import org.hyssopswitch.core.failover.RequiredPromotion;
import org.hyssopswitch.core.failover.SuspicionPolicy;

/** The simpler baseline: one observer replaces a primary of which nothing good was heard for a fixed time. */
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
