package org.hyssopswitch.core.identity;

import java.util.regex.Pattern;

/** Validates identifiers. */
final class IdentifierUtils {

    private static final Pattern IDENTIFIER_PATTERN = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");

    private IdentifierUtils() {}

    static void requireIdentifier(String kind, String value) {
        if (value == null || !IDENTIFIER_PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("the name of a " + kind + " must match " + IDENTIFIER_PATTERN.pattern()
                    + ", but is '" + value + "'");
        }
    }
}
