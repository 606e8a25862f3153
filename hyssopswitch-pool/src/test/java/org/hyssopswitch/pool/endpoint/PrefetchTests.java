package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Connections opened ahead of the first statement of a session or transaction, which follows a round trip later. */
class PrefetchTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    /** Round-trip time between caller and VM. */
    private static final long ROUND_TRIP_MILLIS = 12;

    /** Time for the replies to the start of a transaction and to a statement, without opening a connection. */
    private static final long REPLIES_MILLIS = 6;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    @Test
    void opensAConnectionWhileTheCallerReadsTheReplyToSessionStart() {
        pool.advance(40);
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(ROUND_TRIP_MILLIS);
        caller.read("r1");
        pool.advance(REPLIES_MILLIS);
        assertEquals(1, caller.replies().size());
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void opensAConnectionWhileTheCallerReadsTheReplyToBegin() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.advance(100);
        caller.send("b", new CallerStatement.Begin(false));
        pool.advance(ROUND_TRIP_MILLIS);
        caller.write("w1");
        pool.advance(REPLIES_MILLIS);
        assertEquals(2, caller.replies().size());
        assertTrue(caller.lastReply().succeeded());
        assertEquals(1, pool.endpoint("e1").openedConnections());
    }

    @Test
    void opensNoConnectionWhileOneOfTheAccountIsIdle() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(100);
        caller.read("r1");
        pool.advance(100);
        pool.connectCaller(TestPool.LATEST);
        pool.advance(100);
        assertEquals(1, pool.endpoint("e1").openedConnections());
    }
}
