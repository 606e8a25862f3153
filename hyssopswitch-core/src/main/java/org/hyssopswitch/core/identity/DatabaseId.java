package org.hyssopswitch.core.identity;

/**
 * Identifier of a database, which is served by one group of endpoints.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record DatabaseId(String value) implements Comparable<DatabaseId> {

    /** Validates the format of the identifier. */
    public DatabaseId {
        IdentifierUtils.requireIdentifier("database", value);
    }

    @Override
    public int compareTo(DatabaseId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
