package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** An endpoint that refuses statements as overloaded. */
class OverloadedEndpointTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;
    private static final int CALLERS = 4;
    private static final int ROUNDS = 50;
    private static final long ROUND_MILLIS = 20;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    /** Guards against a new connection for each refusal, whose opening takes a slot of the overloaded endpoint. */
    @Tag("known-red")
    @Test
    void opensFewConnectionsWhileStatementsAreRefused() {
        List<FakeCaller> callers = Stream.generate(() -> pool.connectCaller(TestPool.LATEST))
                .limit(CALLERS)
                .toList();
        callers.forEach(caller -> caller.write("w"));
        pool.advance(100);
        int before = pool.endpoint("e1").openedConnections();
        pool.endpoint("e1").setOverloaded(true);
        for (int i = 0; i < ROUNDS; i++) {
            String id = "w" + i;
            callers.forEach(caller -> caller.write(id));
            pool.advance(ROUND_MILLIS);
        }
        int opened = pool.endpoint("e1").openedConnections() - before;
        assertTrue(opened <= CONNECTIONS, opened + " connections were opened");
    }
}
