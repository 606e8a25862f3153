package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.Test;

class PositionSamplesTests {

    private final PositionSamples samples = new PositionSamples();

    @Test
    void returnsTheLowestPositionThatIsRecentEnough() {
        samples.add(1_000, new LogPosition(1, 10));
        samples.add(2_000, new LogPosition(1, 20));
        samples.add(3_000, new LogPosition(1, 30));
        assertEquals(Option.some(new LogPosition(1, 20)), samples.floor(3_400, 1_500));
        assertTrue(samples.floor(5_000, 1_500).isEmpty());
    }

    @Test
    void discardsPositionsOfEarlierTerms() {
        samples.add(1_000, new LogPosition(1, 50));
        samples.add(1_100, new LogPosition(2, 40));
        samples.add(1_200, new LogPosition(1, 60));
        assertEquals(Option.some(new LogPosition(2, 40)), samples.floor(1_300, 1_000));
        assertEquals(new LogPosition(2, 40), samples.toLatestTerm(new LogPosition(1, 55)));
        assertEquals(new LogPosition(2, 45), samples.toLatestTerm(new LogPosition(2, 45)));
    }

    @Property(seed = "7", tries = 200)
    void neverLacksACommitOlderThanTheAcceptedStaleness(
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 90) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 2_000) int stalenessMillis) {
        PositionSamples many = new PositionSamples();
        List<Long> commitMillis = new ArrayList<>();
        long now = 10_000;
        for (int gap : gaps) {
            now += gap;
            commitMillis.add(now);
            many.add(now, new LogPosition(1, commitMillis.size()));
        }
        long queryMillis = now + 100;
        long required = commitMillis.stream()
                .filter(at -> at <= queryMillis - stalenessMillis)
                .count();
        many.floor(queryMillis, stalenessMillis)
                .forEach(floor -> assertTrue(floor.offset() >= required, floor + " lacks commit " + required));
    }
}
