package org.hyssopswitch.core.identity;

import java.util.regex.Pattern;

/** Checks of identifiers. */
final class IdentifierUtils {

    private static final Pattern FORM = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");

    private IdentifierUtils() {}

    static void requireIdentifier(String kind, String value) {
        if (value == null || !FORM.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "the name of a " + kind + " must match " + FORM.pattern() + ", but is '" + value + "'");
        }
    }
}
