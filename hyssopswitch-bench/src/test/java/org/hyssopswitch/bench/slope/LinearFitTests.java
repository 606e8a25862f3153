package org.hyssopswitch.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LinearFitTests {

    @Test
    void findsAnExactLine() {
        LinearFit fit = LinearFit.of(List.of(new Sample(1, 5), new Sample(2, 7), new Sample(4, 11)));
        assertEquals(3, fit.intercept(), 1e-9);
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(0, fit.slopeError(), 1e-9);
        assertTrue(fit.grows());
    }

    @Test
    void doesNotTakeNoiseForGrowth() {
        LinearFit fit = LinearFit.of(List.of(new Sample(1, 5), new Sample(2, 6), new Sample(3, 5), new Sample(4, 6)));
        assertFalse(fit.grows());
    }

    @Test
    void refusesFewerThanThreeSizes() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(List.of(new Sample(1, 5), new Sample(1, 6), new Sample(2, 5))));
    }

    @Test
    void readsWhatItWrites() {
        Slope slope = new Slope("a.b", "bytes", "VM", List.of(new Sample(1, 2), new Sample(2, 3), new Sample(3, 5)));
        SlopeTable table = new SlopeTable(List.of(slope));
        assertEquals(slope, SlopeTable.decode(table.encode()).find("a.b").orElseThrow());
    }
}
