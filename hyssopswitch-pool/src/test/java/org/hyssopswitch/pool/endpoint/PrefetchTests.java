package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Callers that open a session or a transaction and send their first statement a round trip later. */
class PrefetchTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    /** A caller's round trip. */
    private static final long ROUND_TRIP_MILLIS = 12;

    /** An answer of the endpoint to a statement and to the start of a transaction, without an opening. */
    private static final long ANSWERS_MILLIS = 6;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    @Test
    void opensAConnectionWhileTheCallerReadsTheAnswerToItsStart() {
        pool.advance(40);
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(ROUND_TRIP_MILLIS);
        caller.read("r1");
        pool.advance(ANSWERS_MILLIS);
        assertEquals(1, caller.replies().size());
        assertTrue(caller.lastReply().succeeded());
    }

    @Test
    void opensAConnectionWhileTheCallerReadsTheAnswerToBegin() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.advance(100);
        caller.send("b", new CallerStatement.Begin(false));
        pool.advance(ROUND_TRIP_MILLIS);
        caller.write("w1");
        pool.advance(ANSWERS_MILLIS);
        assertEquals(2, caller.replies().size());
        assertTrue(caller.lastReply().succeeded());
        assertEquals(1, pool.endpoint("e1").openedConnections());
    }

    @Test
    void opensNothingWhileAConnectionOfTheAccountIsUnused() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(100);
        caller.read("r1");
        pool.advance(100);
        pool.connectCaller(TestPool.LATEST);
        pool.advance(100);
        assertEquals(1, pool.endpoint("e1").openedConnections());
    }
}
