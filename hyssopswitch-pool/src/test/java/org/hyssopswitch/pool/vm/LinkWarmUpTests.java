package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LinkWarmUpTests {

    private final List<String> pinged = new ArrayList<>();
    private final LinkWarmUp warmUp = new LinkWarmUp(pinged::add);

    @Test
    void pingsEachVmOnceAndOnePerTick() {
        warmUp.add(List.of("vm-1", "vm-2", "vm-1"));
        warmUp.tick();
        assertEquals(List.of("vm-1"), pinged);
        warmUp.add(List.of("vm-2", "vm-3"));
        for (int i = 0; i < 10; i++) {
            warmUp.tick();
        }
        assertEquals(List.of("vm-1", "vm-2", "vm-3"), pinged);
    }
}
