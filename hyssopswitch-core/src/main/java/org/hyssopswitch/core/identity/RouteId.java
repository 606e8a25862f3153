package org.hyssopswitch.core.identity;

/**
 * Identifier of a declared route.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /** Validates the format of the identifier. */
    public RouteId {
        IdentifierUtils.requireIdentifier("route", value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
