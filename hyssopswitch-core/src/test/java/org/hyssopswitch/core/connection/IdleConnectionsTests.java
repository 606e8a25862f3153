package org.hyssopswitch.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class IdleConnectionsTests {

    private static final long TIMEOUT_MILLIS = 1_000;

    private final AtomicLong clock = new AtomicLong(50_000);
    private final IdleConnections<String> idle = new IdleConnections<>(TIMEOUT_MILLIS, clock::get);

    @Test
    void takesTheConnectionWithTheLatestResponseOnce() {
        idle.add("first");
        clock.addAndGet(10);
        idle.add("second");
        clock.addAndGet(30);
        IdleConnections.Idle<String> taken = idle.take().get();
        assertEquals("second", taken.connection());
        assertEquals(30, clock.get() - taken.sinceMillis());
        assertEquals("first", idle.take().get().connection());
        assertTrue(idle.take().isEmpty());
    }

    @Test
    void doesNotReuseAConnectionBeyondItsIdleTimeout() {
        idle.add("old");
        clock.addAndGet(TIMEOUT_MILLIS - 1);
        idle.add("new");
        clock.addAndGet(1);
        assertEquals(List.of("old"), idle.removeExpired());
        assertEquals("new", idle.take().get().connection());
        idle.add("returned");
        clock.addAndGet(TIMEOUT_MILLIS);
        assertTrue(idle.take().isEmpty());
        assertEquals(List.of("returned"), idle.removeExpired());
    }

    @Test
    void hasNoConnectionLeftAfterARequestRemainedUnanswered() {
        idle.add("a");
        idle.add("b");
        assertEquals(2, idle.removeAll().size());
        assertTrue(idle.take().isEmpty());
    }

    @Test
    void rejectsAnIdleTimeoutThatNoConnectionCanMeet() {
        assertThrows(IllegalArgumentException.class, () -> new IdleConnections<String>(0, clock::get));
    }
}
