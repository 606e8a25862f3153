package org.hyssopswitch.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TokenBucketTests {

    @Test
    void startsEmpty() {
        TokenBucket bucket = new TokenBucket(10, 5, 1_000);
        assertFalse(bucket.tryTake(1_000));
        assertEquals(100, bucket.millisUntilToken(1_000, 1_000));
        assertTrue(bucket.tryTake(1_100));
    }

    @Test
    void largerBurstAddsNoTokens() {
        TokenBucket bucket = new TokenBucket(10, 1, 0);
        bucket.resize(10, 50, 10_000);
        assertEquals(1, bucket.tokens(10_000), 1e-9);
    }

    @Property(seed = "97427")
    void neverAdmitsMoreThanRateAndBurst(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double rate = 1 + random.nextInt(200);
        double burst = 1 + random.nextInt(20);
        TokenBucket bucket = new TokenBucket(rate, burst, 0);
        long now = 0;
        int admitted = 0;
        for (int i = 0; i < 500; i++) {
            now += random.nextInt(40);
            admitted += bucket.tryTake(now) ? 1 : 0;
            assertTrue(admitted <= rate * now / 1_000 + 1e-6, admitted + " at " + now);
        }
    }
}
