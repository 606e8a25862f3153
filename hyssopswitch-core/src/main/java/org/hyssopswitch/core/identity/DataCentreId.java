package org.hyssopswitch.core.identity;

/**
 * Identifier of a data centre.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most 63 characters
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /** Validates the format of the identifier. */
    public DataCentreId {
        IdentifierUtils.requireIdentifier("data centre", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
