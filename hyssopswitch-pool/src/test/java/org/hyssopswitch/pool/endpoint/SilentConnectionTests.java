package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against connections to endpoints that go silent without a reset and stay in the pool. */
class SilentConnectionTests {

    private static final int CONNECTIONS = 60;
    private static final int VMS = 6;
    private static final int CALLERS = 4;

    /** Time after which callers must be served again, milliseconds: a route's timeout and half of it. */
    private static final long RECOVERY_MILLIS = 1_500;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);
    private final List<FakeCaller> callers = new ArrayList<>();

    @Test
    void servesAllStatementsSoonAfterItsOpenConnectionsHaveGoneSilent() {
        warmUp();
        List.of("e1", "e2", "e3").forEach(id -> pool.endpoint(id).silenceOpenConnections());
        callers.get(0).write("during");
        pool.advance(RECOVERY_MILLIS);
        for (int round = 0; round < 10; round++) {
            write("after" + round, 200);
            callers.forEach(caller -> assertTrue(
                    caller.lastReply().succeeded(), caller.lastReply().toString()));
        }
    }

    @Test
    void keepsNoSilentConnection() {
        warmUp();
        List.of("e1", "e2", "e3").forEach(id -> pool.endpoint(id).silenceOpenConnections());
        for (int round = 0; round < 20; round++) {
            callers.get(0).write("round" + round);
            pool.advance(200);
        }
        assertEquals(0, pool.endpoint("e1").silentConnections());
    }

    @Test
    void keepsConnectionsWhoseAnswersAreOnlySlow() {
        warmUp();
        int opened = pool.endpoint("e1").openedConnections();
        pool.endpoint("e1").setWorkMillis(900);
        write("slow", 990);
        callers.forEach(caller -> assertTrue(caller.lastReply().succeeded()));
        pool.endpoint("e1").setWorkMillis(0);
        write("fast", 200);
        assertTrue(pool.endpoint("e1").openedConnections() <= opened + 2, "connections must be reused");
    }

    private void warmUp() {
        for (int i = 0; i < CALLERS; i++) {
            callers.add(pool.connectCaller(TestPool.LATEST));
        }
        pool.endpoint("e1").setWorkMillis(20);
        for (int round = 0; round < 3; round++) {
            write("warm" + round, 300);
        }
        pool.endpoint("e1").setWorkMillis(0);
        callers.forEach(caller -> assertTrue(caller.lastReply().succeeded()));
    }

    /** Has all callers write at the same time and waits. */
    private void write(String prefix, long millis) {
        for (int i = 0; i < callers.size(); i++) {
            callers.get(i).write(prefix + "-" + i);
        }
        pool.advance(millis);
    }
}
