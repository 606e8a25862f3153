package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/**
 * Guards against stale reads after a VM was suspended for longer than the accepted staleness. The monotonic clock stops
 * during the suspension, so that samples of the log position appear more recent than they are.
 */
class SuspensionTests {

    private static final long SUSPENDED_MILLIS = 5_000;

    private final TestPool pool = new TestPool(16, 1);

    @Test
    void doesNotReadReplicasAtAPositionSampledBeforeASuspension() {
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.read("r1");
        pool.advance(300);
        caller.read("r2");
        pool.advance(100);
        assertTrue(readAtReplicas("r2"));
        pool.suspend(SUSPENDED_MILLIS);
        pool.endpoint("e1").setPosition(new LogPosition(1, 20));
        caller.read("r3");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        assertTrue(pool.endpoint("e1").executedStatements().contains("r3"));
    }

    @Test
    void ignoresAPositionQueriedBeforeASuspension() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        caller.send("b", new CallerStatement.Begin(false));
        caller.read("r1");
        pool.suspend(SUSPENDED_MILLIS);
        pool.advance(50);
        FakeCaller reader = pool.connectCaller(TestPool.BOUNDED);
        pool.endpoint("e1").setPosition(new LogPosition(1, 20));
        reader.read("r2");
        pool.advance(100);
        assertTrue(pool.endpoint("e1").executedStatements().contains("r2"));
    }

    @Test
    void readsReplicasAgainOnceTheLogPositionIsSampledAgain() {
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.read("r1");
        pool.suspend(SUSPENDED_MILLIS);
        pool.advance(1_000);
        caller.read("r2");
        pool.advance(1_000);
        caller.read("r3");
        pool.advance(100);
        assertTrue(readAtReplicas("r3"));
    }

    private boolean readAtReplicas(String id) {
        return pool.endpoint("e2").executedStatements().contains(id)
                || pool.endpoint("e3").executedStatements().contains(id);
    }
}
