package org.hyssopswitch.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against the use of revisions and answers from before the store came back from a copy. */
class StoreEraTrackerTests {

    private final StoreEraTracker tracker = new StoreEraTracker();
    private final List<String> advances = new ArrayList<>();

    StoreEraTrackerTests() {
        tracker.addListener((previous, era) -> advances.add(previous + "->" + era));
    }

    @Test
    void notifiesOfEachLaterEraButNotOfTheFirst() {
        observe("4");
        observe("4");
        observe("5");
        assertInstanceOf(EraObservation.Accepted.class, observe("7"));
        assertEquals(List.of("4->5", "5->7"), advances);
        assertEquals(7, tracker.current());
    }

    @Test
    void discardsAnswersOfAnEarlierEra() {
        observe("5");
        assertEquals(new EraObservation.Outdated(5, 4), observe("4"));
        assertEquals(5, tracker.current());
    }

    @Test
    void acceptsAllAnswersOfAStoreThatReportsNoEra() {
        assertEquals(new EraObservation.Accepted(-1, 0), tracker.observe(List.of()));
        assertEquals(new EraObservation.Accepted(0, 0), tracker.observe(List.of()));
        assertTrue(advances.isEmpty());
    }

    @Test
    void rejectsAnswersWhoseEraCannotBeReadOnceOneWasReported() {
        observe("5");
        for (List<String> reported : List.of(
                List.<String>of(),
                List.of("five"),
                List.of("-1"),
                List.of("5", "6"),
                List.of("99999999999999999999"))) {
            assertInstanceOf(EraObservation.Unreadable.class, tracker.observe(reported), reported.toString());
        }
        assertEquals(5, tracker.current());
        assertTrue(advances.isEmpty());
    }

    @Test
    void acceptsAnEraThatIsReportedTwiceAlike() {
        assertEquals(new EraObservation.Accepted(-1, 5), tracker.observe(List.of("5", " 5 ".trim())));
    }

    @Test
    void ordersPositionsByEraBeforeRevision() {
        StorePosition before = new StorePosition(1, 900);
        StorePosition after = new StorePosition(2, 3);
        assertTrue(after.compareTo(before) > 0);
        assertEquals(after, before.max(after));
        assertTrue(StorePosition.NONE.compareTo(new StorePosition(0, 0)) < 0);
    }

    private EraObservation observe(String reported) {
        return tracker.observe(List.of(reported));
    }
}
