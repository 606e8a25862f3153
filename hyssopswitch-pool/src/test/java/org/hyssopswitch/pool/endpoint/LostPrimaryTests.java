package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Statements for a primary that is unreachable, unresponsive, replaced or draining. */
class LostPrimaryTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    /** Maximum time until a statement that cannot be served is refused, a quarter of the routes' latency objective. */
    private static final long REFUSAL_MILLIS = 50;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);
    private final FakeCaller caller = pool.connectCaller(TestPool.LATEST);

    @Test
    void findsAPromotedPrimaryThatTheStoreDoesNotList() {
        warmUp();
        pool.endpoint("e1").crash();
        pool.advance(1_000);
        pool.endpoint("e3").setPrimary(true);
        pool.endpoint("e3").setPosition(new LogPosition(2, 10));
        pool.advance(300);
        caller.write("w1");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        assertEquals("e3", pool.group().primary().get().id());
    }

    @Test
    void refusesAWriteAtOnceWhileThePrimaryIsUnreachable() {
        warmUp();
        pool.endpoint("e1").crash();
        pool.advance(300);
        caller.write("w1");
        pool.advance(1);
        assertEquals(2, caller.replies().size());
        assertEquals(ErrorCode.OVERLOADED, caller.lastError());
    }

    @Test
    void refusesWritesSoonAfterThePrimaryBecomesUnresponsive() {
        warmUp();
        pool.endpoint("e1").setUnresponsive(true);
        caller.write("w1");
        pool.advance(400);
        FakeCaller second = pool.connectCaller(TestPool.LATEST);
        second.write("w2");
        pool.advance(REFUSAL_MILLIS);
        assertEquals(ErrorCode.OVERLOADED, second.lastError());
        assertFalse(pool.endpoint("e1").executedStatements().contains("w2"));
    }

    @Test
    void keepsAPrimaryReachableWhenOneReplyIsLate() {
        warmUp();
        pool.endpoint("e1").setWorkMillis(450);
        caller.write("w1");
        pool.advance(520);
        assertTrue(pool.group().isReachable("e1"));
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void retriesRarelyWhileAForeignProcessHasTheEndpointsAddress() {
        warmUp();
        pool.endpoint("e1").setMisrouted(true);
        pool.endpoint("e1").breakConnections();
        int before = pool.endpoint("e1").connectAttempts();
        for (int i = 0; i < 50; i++) {
            caller.write("w" + i);
            pool.advance(20);
        }
        int attempts = pool.endpoint("e1").connectAttempts() - before;
        assertTrue(attempts <= 3, attempts + " connection attempts");
        assertFalse(pool.group().isReachable("e1"));
    }

    @Test
    void refusesWritesForAPrimaryThatHasBeenDrainingForLong() {
        warmUp();
        pool.updateEndpoint(pool.endpoint("e1").entry("group", "dc-e1", true, 7), VMS);
        caller.write("w1");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        pool.advance(6_000);
        caller.write("w2");
        pool.advance(300);
        assertEquals(ErrorCode.OVERLOADED, caller.lastError());
        assertFalse(pool.endpoint("e1").executedStatements().contains("w2"));
    }

    private void warmUp() {
        caller.read("warm");
        pool.advance(200);
        assertTrue(caller.lastReply().succeeded());
    }
}
