package org.hyssopswitch.standin.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotGateTests {

    private final SlotGate gate = new SlotGate(2);
    private final List<String> running = new ArrayList<>();

    @Test
    void runsAsManyAsThereAreSlotsAndTheRestInOrderOfArrival() {
        for (String name : List.of("a", "b", "c", "d")) {
            gate.acquire(() -> running.add(name));
        }
        assertEquals(List.of("a", "b"), running);
        gate.release();
        assertEquals(List.of("a", "b", "c"), running);
        gate.release();
        gate.release();
        gate.release();
        gate.acquire(() -> running.add("e"));
        assertEquals(List.of("a", "b", "c", "d", "e"), running);
    }

    @Test
    void withdrawsOnlyATaskThatWaits() {
        Runnable first = () -> running.add("a");
        Runnable third = () -> running.add("c");
        gate.acquire(first);
        gate.acquire(() -> running.add("b"));
        gate.acquire(third);
        assertTrue(gate.withdraw(third));
        assertFalse(gate.withdraw(first));
        gate.release();
        assertEquals(List.of("a", "b"), running);
    }
}
