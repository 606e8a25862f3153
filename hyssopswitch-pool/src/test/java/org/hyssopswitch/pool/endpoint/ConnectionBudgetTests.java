package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Replays an endpoint that is full for seconds, because it still holds the connections of a lost VM. */
class ConnectionBudgetTests {

    private static final int OUTAGE_MILLIS = 3_000;

    @Test
    void triesLessAndLessOftenWhereVmsOutnumberTheConnections() {
        int scarce = attemptsWhileFull(new ConnectionBudget(PoolLimits.of(44, 95, 0, 90)));
        int plentiful = attemptsWhileFull(new ConnectionBudget(PoolLimits.of(44, 2, 0, 8)));
        assertTrue(scarce <= 8, scarce + " attempts");
        assertTrue(plentiful >= 5 * scarce, plentiful + " attempts where each VM has a share");
    }

    @Test
    void triesAtTheInitialRateAgainOnceAConnectionWasOpened() {
        ConnectionBudget budget = new ConnectionBudget(PoolLimits.of(44, 95, 0, 90));
        attemptsWhileFull(budget);
        budget.recordOpened();
        long now = 10_000;
        budget.recordOpening(now);
        budget.recordFull(1, now);
        assertTrue(budget.mayOpen(now + 80));
    }

    @Test
    void opensUpToTheEndpointsLimitWhileItIsNotFull() {
        ConnectionBudget budget = new ConnectionBudget(PoolLimits.of(44, 95, 0, 90));
        budget.recordOpening(0);
        assertTrue(budget.mayOpen(0));
        assertEquals(44, budget.maxSize(0));
    }

    private static int attemptsWhileFull(ConnectionBudget budget) {
        int attempts = 0;
        for (long now = 1; now <= OUTAGE_MILLIS; now++) {
            if (budget.mayOpen(now)) {
                budget.recordOpening(now);
                budget.recordFull(1, now);
                attempts++;
            }
        }
        return attempts;
    }
}
