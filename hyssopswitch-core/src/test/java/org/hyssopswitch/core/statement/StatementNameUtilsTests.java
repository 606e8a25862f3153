package org.hyssopswitch.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Guards against statements that share a name, so that a caller's statement runs as another caller's. */
class StatementNameUtilsTests {

    private static final Pattern NAME = Pattern.compile("[a-z0-9_]{1," + StatementNameUtils.MAX_NAME_LENGTH + "}");

    @Test
    void keepsAShortPlainTextReadable() {
        assertEquals("wq2c", StatementNameUtils.nameOf(true, "q2c"));
        assertEquals("rq2c", StatementNameUtils.nameOf(false, "q2c"));
    }

    /** A lender and its borrowers, and VMs of later versions, must derive the same name. */
    @Test
    void givesTheSameNameOnEveryVm() {
        assertEquals("r_b49bdefeca177db66e34554552717b561c7ff344", StatementNameUtils.nameOf(false, "q2 it"));
    }

    @Test
    void givesDifferentNamesToTextsThatLookAlike() {
        Map<String, String> texts = new HashMap<>();
        String digestName = StatementNameUtils.nameOf(false, "q2 it");
        for (String text : new String[] {
            "",
            " ",
            "_",
            "q2 it",
            "q2_it",
            "q2  it",
            "q2it",
            "Q2it",
            " q2it",
            "q2it ",
            "q2\tit",
            "q2\rit",
            "q2\nit",
            "q2\u00a0it",
            "q2\u00e9it",
            "q2?it",
            "\ud800",
            "\ud801",
            "?",
            "a".repeat(40),
            "a".repeat(41),
            digestName,
            digestName.substring(1)
        }) {
            for (boolean write : new boolean[] {false, true}) {
                String previous = texts.put(StatementNameUtils.nameOf(write, text), write + text);
                assertTrue(previous == null, "shared by '" + previous + "' and '" + write + text + "'");
            }
        }
    }

    @Property(seed = "40361")
    void givesDifferentNamesToDifferentStatements(
            @ForAll boolean firstWrite,
            @ForAll("texts") String first,
            @ForAll boolean secondWrite,
            @ForAll("texts") String second) {
        String firstName = StatementNameUtils.nameOf(firstWrite, first);
        String secondName = StatementNameUtils.nameOf(secondWrite, second);
        assertEquals(firstWrite == secondWrite && first.equals(second), firstName.equals(secondName));
    }

    @Property(seed = "40362")
    void namesAreSafeInAFieldAndBounded(@ForAll boolean write, @ForAll("texts") String text) {
        String name = StatementNameUtils.nameOf(write, text);
        assertTrue(NAME.matcher(name).matches(), name);
    }

    /** One character changed, added or removed anywhere gives another name. */
    @Property(seed = "40363")
    void givesAnotherNameAfterASmallChange(@ForAll boolean write, @ForAll("texts") String text, @ForAll Random random) {
        int at = random.nextInt(text.length() + 1);
        String extended = text.substring(0, at) + " " + text.substring(at);
        assertNotEquals(StatementNameUtils.nameOf(write, text), StatementNameUtils.nameOf(write, extended));
        String replaced = extended.substring(0, at) + "_" + extended.substring(at + 1);
        assertNotEquals(StatementNameUtils.nameOf(write, extended), StatementNameUtils.nameOf(write, replaced));
    }

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> lookAlike =
                Arbitraries.strings().withChars(" _aA1\r\n").ofMaxLength(4);
        Arbitrary<String> anyBytes =
                Arbitraries.strings().withCharRange('\0', '\u00ff').ofMaxLength(80);
        return Arbitraries.oneOf(lookAlike, anyBytes, Arbitraries.strings().ofMaxLength(60));
    }
}
