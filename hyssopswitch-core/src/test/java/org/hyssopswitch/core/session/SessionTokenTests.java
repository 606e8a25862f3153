package org.hyssopswitch.core.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.StringLength;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SessionTokenTests {

    private static final DatabaseId DATABASE = new DatabaseId("renewals");
    private static final long MAX = 999_999_999_999_999_999L;

    @Property(seed = "603770")
    void parsesWhatItFormats(@ForAll @LongRange(max = MAX) long term, @ForAll @LongRange(max = MAX) long offset) {
        SessionToken token = new SessionToken(DATABASE, new LogPosition(term, offset));
        assertEquals(token, SessionToken.parse(token.format(), DATABASE).get());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "v1",
                "v2:renewals:1:2",
                "v1:orders:1:2",
                "v1:renewals:-1:2",
                "v1:renewals:1:",
                "v1:renewals:1:2:3",
                "v1:renewals:1:9999999999999999999",
                "v1:RENEWALS:1:2",
                "v1:renewals:1:2\u0000"
            })
    void rejectsAMalformedToken(String text) {
        assertTrue(SessionToken.parse(text, DATABASE).getLeft() instanceof Refusal.TokenInvalid);
    }

    @Property(seed = "120000")
    void rejectsArbitraryText(@ForAll @StringLength(max = 300) String text) {
        assertTrue(SessionToken.parse(text, DATABASE).isLeft());
    }
}
