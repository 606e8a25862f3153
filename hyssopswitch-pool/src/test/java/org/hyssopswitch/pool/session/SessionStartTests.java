package org.hyssopswitch.pool.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Callers that connect before a restarted VM has read the configuration. */
class SessionStartTests {

    private final TestPool pool = TestPool.unconfigured();

    @Test
    void keepsANewSessionWaitingForTheFirstConfiguration() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(500);
        assertFalse(caller.isSessionOpen());
        assertEquals(List.of(), caller.refusals());
        pool.configure(TestPool.catalog(16, Map.of(TestPool.KEY, TestPool.account("small"))), 6);
        assertTrue(caller.isSessionOpen());
    }

    @Test
    void closesANewSessionBeforeItsCallerTimesOut() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.advance(1_960);
        assertTrue(caller.isClosed());
        assertEquals(List.of(), caller.refusals());
    }
}
