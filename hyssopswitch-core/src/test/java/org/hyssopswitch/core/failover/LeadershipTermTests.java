package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LeadershipTermTests {

    @Property(seed = "1")
    void tokensOfAHigherTermExceedAllOfALowerOne(
            @ForAll @LongRange(min = 0, max = 5_000) long era,
            @ForAll @LongRange(min = 0, max = 9_999_998) long epoch,
            @ForAll @LongRange(min = 0, max = 9_999_998) long lowerEpoch) {
        LeadershipTerm lower = new LeadershipTerm(era, lowerEpoch);
        long highestOfLower = lower.fencingToken(LeadershipTerm.TOKENS_PER_EPOCH - 1);
        assertTrue(new LeadershipTerm(era + 1, epoch).fencingToken(0) > highestOfLower);
        assertTrue(lower.next(era).fencingToken(0) > highestOfLower);
        assertTrue(lower.next(era + 1).compareTo(lower) > 0);
    }

    @Test
    void keepsTheTokensOfAStoreWithoutEras() {
        assertEquals(700_003, new LeadershipTerm(0, 7).fencingToken(3));
    }

    @Test
    void rejectsEpochsAndTokensThatBelongToTheNextTerm() {
        assertThrows(IllegalArgumentException.class, () -> new LeadershipTerm(0, LeadershipTerm.EPOCHS_PER_ERA));
        LeadershipTerm term = new LeadershipTerm(0, 1);
        assertThrows(IllegalArgumentException.class, () -> term.fencingToken(LeadershipTerm.TOKENS_PER_EPOCH));
        LeadershipTerm largest = new LeadershipTerm(Long.MAX_VALUE, 1);
        assertThrows(ArithmeticException.class, largest::number);
    }
}
