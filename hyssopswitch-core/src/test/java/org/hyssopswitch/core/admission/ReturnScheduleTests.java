package org.hyssopswitch.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.limit.TokenBucket;
import org.junit.jupiter.api.Test;

/** Replays callers of one client account that are refused together and return when they are told to. */
class ReturnScheduleTests {

    private static final double RATE = 20;
    private static final int CALLERS = 30;

    @Test
    void letsRefusedCallersReturnOneByOneAtTheRate() {
        ReturnSchedule schedule = new ReturnSchedule(5_000);
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            delays.add(schedule.book(RATE, 42, 1_000));
        }
        assertEquals(List.of(42L, 92L, 142L, 192L), delays);
    }

    @Test
    void forgetsBookingsThatHavePassed() {
        ReturnSchedule schedule = new ReturnSchedule(5_000);
        schedule.book(RATE, 42, 1_000);
        assertEquals(10, schedule.book(RATE, 10, 9_000));
    }

    @Test
    void limitsTheDelay() {
        ReturnSchedule schedule = new ReturnSchedule(100);
        for (int i = 0; i < 50; i++) {
            assertTrue(schedule.book(RATE, 42, 1_000) <= 100);
        }
        assertEquals(100, schedule.book(0, 0, 1_000));
    }

    @Test
    void refusesReturningCallersFarLessOftenThanTheTimeOfTheNextTokenDoes() {
        int booked = refusalsUntilAllAreAdmitted(true);
        int unbooked = refusalsUntilAllAreAdmitted(false);
        assertTrue(booked <= 2 * CALLERS, booked + " refusals");
        assertTrue(unbooked >= 5 * booked, unbooked + " refusals without bookings, " + booked + " with them");
    }

    private static int refusalsUntilAllAreAdmitted(boolean booking) {
        TokenBucket bucket = new TokenBucket(RATE, RATE, 0);
        ReturnSchedule schedule = new ReturnSchedule(5_000);
        List<Long> returns = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            returns.add(0L);
        }
        int refusals = 0;
        for (long now = 0; !returns.isEmpty(); now++) {
            for (int i = returns.size() - 1; i >= 0; i--) {
                if (returns.get(i) > now) {
                    continue;
                }
                if (bucket.tryTake(now)) {
                    returns.remove(i);
                } else {
                    long untilToken = bucket.millisUntilToken(now, 5_000);
                    returns.set(i, now + (booking ? schedule.book(RATE, untilToken, now) : untilToken));
                    refusals++;
                }
            }
        }
        return refusals;
    }
}
