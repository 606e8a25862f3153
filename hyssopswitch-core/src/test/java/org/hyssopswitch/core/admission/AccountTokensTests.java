package org.hyssopswitch.core.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AccountTokensTests {

    private static final double RATE = 60;
    private static final double BURST = 60;

    @Test
    void keepsTheBurstWhenAHolderStopsAndStartsAgain() {
        AccountTokens stopping = part("other", 0);
        AccountTokens other = part("stopping", 0);
        other.deposit("stopping", stopping.withdrawAll(10_000), 0, 10_000);
        AccountTokens restarted = part("other", 12_000);
        double tokens = restarted.unused(20_000) + other.unused(20_000);
        assertTrue(tokens <= BURST, tokens + " tokens of a burst of " + BURST);
    }

    private static AccountTokens part(String otherHolder, long nowMillis) {
        AccountTokens tokens = new AccountTokens(nowMillis);
        tokens.resize(RATE, BURST, List.of(otherHolder), nowMillis);
        return tokens;
    }
}
